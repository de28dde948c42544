#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/membership/signing_keys.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace chervilbend::membership
{

/// Signs and verifies messages between nodes, with HMAC-SHA256 (RFC 2104, FIPS 180-4) over the time, a nonce, a context and the body.
class message_signer : public base::reason_holder
{
public:
    /// Maximum difference between the clocks of sender and receiver. NTP keeps hosts within much less than a second; the rest allows for a
    /// paused sender.
    static constexpr base::milliseconds maxClockSkew{30'000};

    /// Accepted messages are kept for twice maxClockSkew, so 16,384 entries allow for 270 messages per second. They take about 2 MB.
    static constexpr std::size_t defaultReplayCacheSize = 16'384;

    /// @p replayCacheSize is the maximum of accepted messages that are kept for the detection of replays.
    explicit message_signer(signing_keys keys, std::size_t replayCacheSize = defaultReplayCacheSize);

    /// Commands.

    void setKeys(signing_keys keys);

    /// Returns the signature, "TIME.NONCE.HMAC", which is different in each call. @p context binds the body to something else, such as an
    /// answer to the signature of its request.
    std::string sign(std::string_view body, std::string_view context = {});

    /// Whether the message is authentic and recent and was not accepted before. If not, lastReason() is of the kind unauthorized.
    bool verify(std::string_view signature, std::string_view body, std::string_view context = {});

private:
    bool isAuthentic(std::string_view timeAndNonce, std::string_view mac, std::string_view body, std::string_view context) const;
    bool acceptOnce(base::milliseconds time, std::string_view mac);

    signing_keys m_keys;
    std::size_t m_replayCacheSize;
    std::uint64_t m_nextNonce;
    /// Times and HMACs of accepted messages.
    std::set<std::pair<std::int64_t, std::string>> m_accepted;
    /// Messages up to this time are refused, since accepted ones of that time may have been evicted.
    std::int64_t m_evictedUpTo = 0;
};

} // namespace chervilbend::membership
