#include "routing/apikey.h"

#include <openssl/sha.h>

namespace sassafrasvane
{

static_assert(sizeof(ApiKeyDigest) == SHA256_DIGEST_LENGTH);

ApiKeyDigest digestOf(std::string_view key)
{
    ApiKeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

} // namespace sassafrasvane
