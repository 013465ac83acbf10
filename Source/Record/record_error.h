#pragma once

#include <stdexcept>

namespace sagesaddle {

/// \brief A record, or an operator's file, that cannot be used. The message names what is wrong and, for an
/// operator's file, where it stands and the remedy.
class record_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace sagesaddle
