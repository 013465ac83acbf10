#include "Gateway/member_name.h"

#include <chrono>
#include <unistd.h>

namespace sagesaddle {

namespace {

// Separates a gateway's address from what identifies one start of it.
constexpr char startSeparator = '#';

} // namespace

std::string memberNamePrefix(const address& peers)
{
    return formatAddress(peers) + startSeparator;
}

std::string makeMemberName(const address& peers)
{
    return memberNamePrefix(peers)
        + std::to_string(std::chrono::system_clock::now().time_since_epoch().count()) + "-"
        + std::to_string(::getpid());
}

address addressOfMember(const std::string& member)
{
    return parseAddress(member.substr(0, member.find(startSeparator)));
}

} // namespace sagesaddle
