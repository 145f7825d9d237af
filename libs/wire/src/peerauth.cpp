#include "wire/peerauth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr std::size_t nonceSize = 16;

} // namespace

std::string makeNonce()
{
    std::string nonce(nonceSize, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

std::string peerDigest(std::string_view key,
                       std::string_view role,
                       const PeerIdentity &identity,
                       std::string_view nonce)
{
    std::string text(role);
    text += '|' + std::to_string(identity.daemon.value) + '|' + std::to_string(identity.incarnation.value) + '|';
    text += nonce;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest,
         &size);
    return {reinterpret_cast<const char *>(digest), size};
}

bool isPeerDigestValid(std::span<const std::string> keys,
                       std::string_view role,
                       const PeerIdentity &identity,
                       std::string_view nonce,
                       std::string_view digest)
{
    return std::any_of(keys.begin(), keys.end(), [&](const std::string &key) {
        const std::string expected = peerDigest(key, role, identity, nonce);
        return expected.size() == digest.size() && CRYPTO_memcmp(expected.data(), digest.data(), digest.size()) == 0;
    });
}

} // namespace sassafrasvane
