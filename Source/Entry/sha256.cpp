#include "Entry/sha256.h"

#include <array>
#include <openssl/sha.h>

namespace sagesaddle {

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    for (const unsigned char byte : digest) {
        text.push_back("0123456789abcdef"[byte >> 4U]);
        text.push_back("0123456789abcdef"[byte & 15U]);
    }
    return text;
}

} // namespace sagesaddle
