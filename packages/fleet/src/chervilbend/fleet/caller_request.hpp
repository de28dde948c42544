#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// A segment of a prompt that other requests may share.
struct prompt_part {
    std::string id;
    base::token_count tokens;
};

/// Metadata of a caller's request, apart from method, path and body.
struct caller_request {
    /// Unique ID of each attempt of a caller.
    std::string attempt;
    /// How long the caller will wait; no value when it is not given.
    std::optional<base::milliseconds> timeout;
    /// Empty for requests to plain services.
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    base::token_count promptTokens;
    /// Maximum number of generated tokens.
    base::token_count maxTokens;
    /// Whether the request states both numbers of tokens.
    bool hasTokenCounts = false;
    /// Identifies the caller's account; empty if there is none, or more than one. It must not be logged or sent on.
    std::string key;
    /// In the order of the prompt; the last one is private to the session.
    std::vector<prompt_part> prompt;
    /// The last event of a stream that the caller has received.
    std::optional<std::int64_t> lastEvent;
    /// The attempt ID of the request that brought the first event of the stream that this one takes up; empty if it names none.
    std::string resumedAttempt;
    /// Attempts that another node has made, and the software version that it knows to have begun the stream. To be believed only from other nodes.
    int attemptsUsed = 0;
    base::software_version softwareVersion;
    /// The account that another node has found by the caller's key, empty for a public route without one; no value if that node knows no accounts.
    /// To be believed only from other nodes.
    std::optional<base::account_id> relayedAccount;
};

} // namespace chervilbend::fleet
