#pragma once

// Treats the code that flatc generates as a system header, since it does not follow the rules of the linter.
#pragma GCC system_header

#include "Wire/fleet_generated.h"
#include "Wire/frame_generated.h"
