#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/adaptive_director.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// Test driver of a director in virtual time. Endpoints "e0", "e1" and so on serve the pool "m".
struct director_driver {
    base::manual_time_source clock;
    adaptive_director director;

    explicit director_driver(int endpoints, const director_settings &settings = {}, std::uint64_t seed = 7)
        : director(seed, settings)
    {
        for (int index = 0; index < endpoints; ++index) {
            addEndpoint(name(index));
        }
    }

    /// @p index is at most 9.
    static std::string name(int index)
    {
        return {'e', static_cast<char>('0' + index)};
    }

    void addEndpoint(const std::string &id)
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(id);
        facts.pools = {"m"};
        director.setEndpoint(facts);
    }

    static request_facts request(const std::string &account = "a", base::work_class urgency = base::work_class::normal, int tokens = 10)
    {
        static std::uint64_t lastFingerprint = 1000;
        request_facts facts;
        facts.pool = std::string(1, 'm'); // Assigning a literal gives a false warning of g++ 12 about overlapping copies.
        facts.account = base::account_id(account);
        facts.urgency = urgency;
        facts.deadline = base::clock::now() + base::milliseconds(600'000);
        facts.maxTokens = base::token_count(tokens);
        facts.fingerprint = ++lastFingerprint;
        return facts;
    }

    /// Submits the request. Returns 0 if it is refused immediately.
    request_handle submit(const request_facts &facts)
    {
        return director.submit(facts, why).value_or(0);
    }

    /// Submits the request and takes the dispatches. Returns its handle and endpoint; the endpoint is empty if the request has to wait.
    dispatch send(const request_facts &facts)
    {
        const request_handle request = submit(facts);
        for (const dispatch &sent : director.takeDispatches()) {
            if (sent.request == request) {
                return sent;
            }
        }
        return {request, base::endpoint_id(), {}};
    }

    /// Answers the request with @p tokens tokens: the first byte after @p msPerToken ms, then the same time for each token.
    void answer(request_handle request, int tokens = 10, int msPerToken = 20)
    {
        clock.advance(base::milliseconds(msPerToken));
        director.firstByte(request);
        clock.advance(base::milliseconds(msPerToken) * tokens);
        director.progress(request, base::token_count(tokens));
        director.finish(request, request_outcome::answered);
    }

    void report(const std::string &endpoint, int running, int incarnation, int lagMs = 0)
    {
        director.setReport(base::endpoint_id(endpoint), {running, 0, base::milliseconds(lagMs), incarnation});
    }

    /// Advances the clock by @p ms in steps of the director's window. Returns the dispatches of that time.
    std::vector<dispatch> wait(int ms)
    {
        std::vector<dispatch> all;
        for (int elapsed = 0; elapsed < ms; elapsed += 250) {
            clock.advance(base::milliseconds(std::min(250, ms - elapsed)));
            for (dispatch &sent : director.takeDispatches()) {
                all.push_back(std::move(sent));
            }
        }
        return all;
    }

    base::reason why;
};

} // namespace chervilbend::routing
