#pragma once

namespace sagesaddle {

/// \brief A visitor for `std::visit` put together from one lambda per alternative.
template <typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace sagesaddle
