#include <chervilbend/membership/message_signer.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace chervilbend::membership
{

namespace
{

constexpr std::size_t macBytes = 32;

std::string hex(const unsigned char *data, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * size);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[data[i] >> 4U];
        text += digits[data[i] & 15U];
    }
    return text;
}

std::string hmac(std::string_view key, std::string_view timeAndNonce, std::string_view body, std::string_view context)
{
    // The lengths prevent bytes of one part from being interpreted as bytes of the next.
    std::string message = std::to_string(timeAndNonce.size()) + ':' + std::to_string(context.size()) + ':';
    message.append(timeAndNonce).append(context).append(body);
    std::array<unsigned char, macBytes> mac{};
    unsigned int size = mac.size();
    const auto *bytes = reinterpret_cast<const unsigned char *>(message.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, message.size(), mac.data(), &size);
    return hex(mac.data(), mac.size());
}

std::uint64_t randomNonce()
{
    std::uint64_t nonce = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&nonce), sizeof(nonce));
    return nonce;
}

} // namespace

message_signer::message_signer(signing_keys keys, std::size_t replayCacheSize)
    : m_keys(std::move(keys))
    , m_replayCacheSize(std::max<std::size_t>(1, replayCacheSize))
    , m_nextNonce(randomNonce())
{
}

void message_signer::setKeys(signing_keys keys)
{
    m_keys = std::move(keys);
}

std::string message_signer::sign(std::string_view body, std::string_view context)
{
    const std::string timeAndNonce = std::to_string(base::clock::wallNow().count()) + '.' + std::to_string(m_nextNonce++);
    return timeAndNonce + '.' + hmac(m_keys.primary, timeAndNonce, body, context);
}

bool message_signer::verify(std::string_view signature, std::string_view body, std::string_view context)
{
    const std::size_t macStart = signature.rfind('.');
    std::int64_t time = 0;
    const auto parsed = std::from_chars(signature.data(), signature.data() + signature.size(), time);
    if (macStart == std::string_view::npos || parsed.ec != std::errc() || parsed.ptr == signature.data() + signature.size() || *parsed.ptr != '.') {
        fail(base::error_kind::unauthorized, "the signature of the message is missing or malformed");
        return false;
    }
    const std::string_view mac = signature.substr(macStart + 1);
    if (!isAuthentic(signature.substr(0, macStart), mac, body, context)) {
        fail(base::error_kind::unauthorized, "the signature does not match a valid key");
        return false;
    }
    return acceptOnce(base::milliseconds(time), mac);
}

bool message_signer::isAuthentic(std::string_view timeAndNonce, std::string_view mac, std::string_view body, std::string_view context) const
{
    bool authentic = false;
    for (const std::string *key : {&m_keys.primary, &m_keys.secondary}) {
        // With an empty key, anyone could sign messages.
        if (!key->empty() && mac.size() == 2 * macBytes) {
            const std::string expected = hmac(*key, timeAndNonce, body, context);
            authentic = CRYPTO_memcmp(expected.data(), mac.data(), expected.size()) == 0 || authentic;
        }
    }
    return authentic;
}

bool message_signer::acceptOnce(base::milliseconds time, std::string_view mac)
{
    const base::milliseconds now = base::clock::wallNow();
    if (time < now - maxClockSkew || time > now + maxClockSkew) {
        fail(base::error_kind::unauthorized, "the time of the message differs from the local clock by " + std::to_string((now - time).count()) + " ms");
        return false;
    }
    m_accepted.erase(m_accepted.begin(), m_accepted.lower_bound({(now - maxClockSkew).count(), std::string()}));
    if (time.count() <= m_evictedUpTo || !m_accepted.emplace(time.count(), mac).second) {
        fail(base::error_kind::unauthorized, "the message may be a replay");
        return false;
    }
    if (m_accepted.size() > m_replayCacheSize) {
        m_evictedUpTo = m_accepted.begin()->first;
        m_accepted.erase(m_accepted.begin());
    }
    return true;
}

} // namespace chervilbend::membership
