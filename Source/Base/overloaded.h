#pragma once

namespace sagesaddle {

/// \brief A visitor for `std::visit` that combines one lambda for each alternative.
template <typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace sagesaddle
