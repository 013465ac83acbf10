#pragma once

#include <cstdint>

namespace sagesaddle {

// HTTP status codes that the programs send or check, under their names in the HTTP standard.
inline constexpr std::uint16_t statusOk = 200;
inline constexpr std::uint16_t statusAccepted = 202;
inline constexpr std::uint16_t statusNoContent = 204;
inline constexpr std::uint16_t statusNotModified = 304;
inline constexpr std::uint16_t statusNotFound = 404;
inline constexpr std::uint16_t statusConflict = 409;
inline constexpr std::uint16_t statusGone = 410;
inline constexpr std::uint16_t statusPreconditionFailed = 412;
inline constexpr std::uint16_t statusTooManyRequests = 429;
inline constexpr std::uint16_t statusUnavailable = 503;
inline constexpr std::uint16_t statusInsufficientStorage = 507;

} // namespace sagesaddle
