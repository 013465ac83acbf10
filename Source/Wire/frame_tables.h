#pragma once

// The generated code keeps flatc's own style, which the linter is not to judge.
#pragma GCC system_header

#include "Wire/fleet_generated.h"
#include "Wire/frame_generated.h"
