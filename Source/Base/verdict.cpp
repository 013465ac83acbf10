#include "Base/verdict.h"

#include <algorithm>

namespace sagesaddle {

verdict laterVerdict(verdict current, verdict next)
{
    return std::max(current, next);
}

std::string_view nameOf(verdict value)
{
    switch (value) {
    case verdict::NotRun:
        return "not_run";
    case verdict::MayHaveRun:
        return "may_have_run";
    case verdict::Answered:
        return "answered";
    }
    return "may_have_run";
}

std::optional<verdict> parseVerdict(std::string_view name)
{
    for (verdict candidate : { verdict::NotRun, verdict::MayHaveRun, verdict::Answered }) {
        if (nameOf(candidate) == name)
            return candidate;
    }
    return std::nullopt;
}

} // namespace sagesaddle
