#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/platform/run_observer.hpp>
#include <chervilbend/soak/quota_windows.hpp>
#include <chervilbend/soak/soak_accounts.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::soak
{

enum class request_kind {
    /// May run once only.
    order,
    /// A stream that can't be resumed, which may run once only as well.
    stream,
    /// May be repeated.
    query,
    /// A long stream that may be resumed, and so be repeated.
    feed,
};

bool mayRunOnceOnly(request_kind kind);
/// Whether its route needs no key.
bool isPublic(request_kind kind);

/// How an attempt ends without a whole answer.
enum class cut_cause {
    none,
    /// The caller has closed its connection, or its deadline has passed.
    byCaller,
    /// The connection was closed by the node.
    byNode,
};

/// One attempt of a caller, as the caller sees it.
struct caller_attempt {
    std::string id;
    /// Of the request; its attempts share it.
    std::uint64_t request = 0;
    request_kind kind = request_kind::order;
    std::size_t node = 0;
    /// The program that the node runs; see runningProgram().
    std::string program;
    base::time_point sentAt = base::clock::now();
    /// What it was sent with; no value in a soak without accounts.
    std::optional<account_key> key = std::nullopt;
};

/// How an attempt ended for its caller.
struct attempt_end {
    /// 0 without a whole answer.
    int status = 0;
    std::string note;
    cut_cause cut = cut_cause::none;
};

/// A rule that did not hold, with the attempts and runs that show it.
struct breach {
    std::string rule;
    /// Of a wrong or cut answer: the program of the node that it came from. Else the programs of the nodes that refused the request although it ran, or that
    /// ran an attempt twice; without such nodes, of all that it was sent to.
    std::set<std::string> programs;
    std::string story;
};

/// What callers and servers have seen of each attempt; checks that what may run once only runs once, that no request runs that was called not run, that
/// nodes cut no answers (LOST), that requests run and are refused as their keys say (UNAUTHORIZED, DENIED), that servers get the account and no key (ACCOUNT,
/// KEY), and that accounts keep to their quotas (QUOTA).
class attempt_ledger : public fakes::run_observer
{
public:
    /// Before a request is sent; a node may take so long to get over a fault.
    static constexpr base::milliseconds disruptionEffect{3'000};

    void onSent(const caller_attempt &attempt);
    void onEnded(const std::string &id, attempt_end end);
    /// An answer that belongs to another request, or that is not whole.
    void onWrongAnswer(const std::string &id, const std::string &what);
    void onRun(const fakes::served_run &run) override;
    void onFaultyAnswer(fakes::answer_form form) override;
    void onSpoiltAnswer(const std::string &attempt) override;
    void onRepeatOnConnection() override;
    void onAuthorization(const std::string &attempt) override;
    /// A fault of a node, a server or a link begins or goes on now. Nodes may cut answers beside it. A server that is silent for a while is none.
    void onDisruption();
    /// A process of the node has got its first SIGTERM.
    void onStop(std::size_t node, base::time_point at = base::clock::now());

    /// The limits that hold for the accounts; an attempt counts once, also if it runs again.
    quota_windows &quotas()
    {
        return m_quotas;
    }

    const std::vector<breach> &breaches() const
    {
        return m_breaches;
    }
    /// Whether a request broke a rule that met a node with the program; an empty name stands for all.
    bool hasBreachAt(const std::string &program) const;
    std::size_t served() const
    {
        return m_served;
    }
    std::size_t ended() const
    {
        return m_ended;
    }
    /// Numbers of requests, attempts, answers by status, runs and forms, in lines.
    std::string summary() const;

private:
    /// Of one sending of an attempt.
    struct attempt_record {
        caller_attempt attempt;
        std::vector<fakes::served_run> runs;
        attempt_end end;
        base::time_point endedAt;
        bool hasEnded = false;
        bool isSpoilt = false;
    };

    /// The record of the last sending of the attempt.
    attempt_record &lastOf(const std::string &id);
    void check(const attempt_record &record);
    /// Called after each run.
    void checkAccount(const attempt_record &record);
    void report(const std::string &rule, const attempt_record &record, std::set<std::string> programs);
    /// Of all attempts of the record's request, in their order.
    std::vector<attempt_record> sendingsOf(const attempt_record &record) const;
    std::set<std::string> programsOf(const attempt_record &record) const;
    /// Whether a fault, a server's answer, or the end of a stop allows that the node has cut the answer that ends now.
    bool mayBeCut(const attempt_record &record) const;
    std::string storyOf(const attempt_record &record) const;

    base::time_point m_startedAt = base::clock::now();
    /// All sendings of each attempt, in their order: callers may send an attempt again after it was refused.
    std::map<std::string, std::vector<attempt_record>> m_attempts;
    /// The attempts of each request that may run once only, in their order, each once.
    std::map<std::uint64_t, std::vector<std::string>> m_requests;
    std::vector<breach> m_breaches;
    quota_windows m_quotas;
    base::time_point m_lastDisruption = base::time_point::min();
    std::map<std::size_t, std::vector<base::time_point>> m_stops;
    std::size_t m_cut = 0;
    std::size_t m_cutBesideFaults = 0;
    std::map<int, std::size_t> m_statuses;
    std::map<std::string, std::size_t> m_forms;
    std::size_t m_runs = 0;
    std::size_t m_unknownRuns = 0;
    std::size_t m_sendings = 0;
    std::size_t m_repeatsOnConnection = 0;
    std::size_t m_served = 0;
    std::size_t m_ended = 0;
};

} // namespace chervilbend::soak
