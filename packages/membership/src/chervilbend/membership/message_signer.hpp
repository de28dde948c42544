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

/// Signs messages between nodes with HMAC-SHA256 (RFC 2104, FIPS 180-4) over time, a number used once, a context and the body, and
/// verifies them.
class message_signer : public base::reason_holder
{
public:
    /// The two clocks may differ by so much. Hosts keep time by NTP to well under a second; the rest allows for a paused sender.
    static constexpr base::milliseconds maxClockSkew{30'000};

    /// Messages are remembered for twice maxClockSkew; 16,384 allow for 270 of them per second, in about 2 MB.
    static constexpr std::size_t defaultMemory = 16'384;

    /// @p memory bounds how many accepted messages are remembered against replay.
    explicit message_signer(signing_keys keys, std::size_t memory = defaultMemory);

    /// Commands.

    void setKeys(signing_keys keys);

    /// The signature, "TIME.NUMBER.HMAC". Two calls never give the same one. @p context is what the body belongs to, such as the
    /// signature of the request that an answer is for.
    std::string sign(std::string_view body, std::string_view context = {});

    /// Whether the message is authentic, recent and was not accepted before. False with a last reason of the kind unauthorized.
    bool verify(std::string_view signature, std::string_view body, std::string_view context = {});

private:
    bool isAuthentic(std::string_view stamp, std::string_view mac, std::string_view body, std::string_view context) const;
    bool remember(base::milliseconds time, std::string_view mac);

    signing_keys m_keys;
    std::size_t m_memory;
    std::uint64_t m_nextNumber;
    /// Accepted messages by their time and HMAC.
    std::set<std::pair<std::int64_t, std::string>> m_accepted;
    /// Messages up to this time are refused, since those accepted from then may have been forgotten.
    std::int64_t m_forgottenUpTo = 0;
};

} // namespace chervilbend::membership
