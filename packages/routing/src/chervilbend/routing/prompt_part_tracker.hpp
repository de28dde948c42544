#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/part_suspicion.hpp>
#include <chervilbend/routing/prompt_evidence.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::routing
{

/// An attempt whose endpoint was lost.
struct lost_attempt {
    /// Hash of the service of the endpoint.
    std::uint64_t service = 0;
    /// The endpoint had sent an event of its answer.
    bool hadBegun = false;
};

/// Finds the part of a prompt that crashes each endpoint that begins to answer on it, and has requests with it refused.
///
/// Evidence against a part are the endpoint processes that were lost while they had a request with it, before the first event or soon after it. Evidence for
/// it is an answer that came to its end or went on for long enough after its first event; it speaks against all losses before it, and no loss after it. The
/// first event alone proves little, since an endpoint may end right after it, but a part that has been answered is refused only on losses at several moments,
/// and only if other answers of the service have lasted meanwhile. Losses that a part with more of them explains do not count.
///
/// What other nodes have seen counts like this node's own observations, so that a part is found although each node has few of the requests.
///
/// The fingerprint of a whole request is tracked like a part, which finds a request that crashes endpoints and is sent again through any node.
///
/// While a refused part is not certain to be the cause, a single request with it is let through from time to time as a trial, at one of all nodes.
class prompt_part_tracker
{
public:
    /// Number of lost endpoint processes from which requests with the part are refused.
    static constexpr std::size_t lossesToRefuse = 3;
    /// Number of lost endpoint processes from which the part counts as the certain cause and gets no further trial.
    static constexpr std::size_t lossesForCertainty = 5;

    /// Commands.

    /// The endpoint process was lost while it had a request with these parts, of which no answer has lasted yet.
    void recordLoss(const std::vector<std::uint64_t> &parts, std::uint64_t process, const lost_attempt &attempt = {});
    /// An endpoint has begun to answer a request with these parts.
    void recordAnswer(const std::vector<std::uint64_t> &parts);
    /// An answer of the service to a request with these parts has come to its end, or has gone on for long enough after its first event.
    void recordLastingAnswer(const std::vector<std::uint64_t> &parts, std::uint64_t service);
    /// An endpoint has answered the request with this fingerprint. Most requests come once, so only those that come again are announced.
    void recordAnsweredRequest(std::uint64_t fingerprint);
    /// Merges what another node knows.
    void merge(const prompt_evidence &remote);
    /// Notes that a request with this refused part has arrived. True if it may be sent as a trial.
    bool takeTrial(std::uint64_t part);
    /// The listener is called when an endpoint is lost.
    void onLoss(std::function<void()> listener);
    /// The listener is called when requests with a part begin to be refused, with the number of lost processes.
    void onRefusal(std::function<void(std::uint64_t part, std::size_t losses)> listener);

    /// What to tell another node: all suspicions, what speaks against them, and the answered parts that have not been announced yet.
    prompt_evidence takeNews();
    /// Announces all answered parts again, because the node that they were announced to does not have them.
    void announceAgain();
    /// Announces these again, because the message with them was lost.
    void announceAgain(const std::map<std::uint64_t, base::milliseconds> &answered);
    /// The response to @p remote: all suspicions of this node, those of the other's suspected parts that have been answered, and trials.
    prompt_evidence responseTo(const prompt_evidence &remote);

    /// Queries.

    /// The part because of which a request with @p parts is refused; no value if there is none.
    std::optional<std::uint64_t> refusedPart(const std::vector<std::uint64_t> &parts) const;
    /// The losses of the refused parts, those with most losses first if there are many.
    prompt_evidence refusedEvidence() const;
    /// Number of parts that are refused now.
    std::size_t refusedParts() const;

private:
    struct answered_part {
        /// When an endpoint last began to answer on the part, as far as this node knows.
        base::time_point answeredAt;
        /// When this node last announced that.
        base::time_point announcedAt = base::time_point::min();
    };

    /// When an endpoint last began to answer on the part; no value if that is too long ago or never happened.
    std::optional<base::time_point> answeredAt(std::uint64_t part) const;
    bool isAnswered(std::uint64_t part) const
    {
        return answeredAt(part).has_value();
    }
    /// When an answer on the part last lasted; no value if this node knows of none.
    std::optional<base::time_point> lastedAt(std::uint64_t partOrService) const;
    std::map<std::uint64_t, base::time_point> countedLosses(std::uint64_t part, const part_suspicion &suspected) const;
    /// The part as a possible cause of its losses; no value if there are too few.
    std::optional<refusal_candidate> candidate(std::uint64_t part, const part_suspicion &suspected) const;
    /// Updates which parts are refused.
    void decide();
    /// The wanted parts that may be tried again, of which each is granted to one node at a time.
    std::vector<std::uint64_t> grantTrials(const std::vector<std::uint64_t> &wanted);
    void addLoss(std::uint64_t part, std::uint64_t process, base::time_point when, const lost_attempt &attempt);
    void mergeLosses(const prompt_evidence &remote);
    void noteAnswered(std::uint64_t part, base::time_point when);
    void noteLasted(std::uint64_t partOrService, base::time_point when);
    void announce(std::uint64_t part);
    void expire();
    /// The suspected parts, those that are refused first, then by number and time of their losses.
    std::vector<std::uint64_t> suspectedParts() const;
    /// Adds the losses, and when their parts and services were last answered.
    void addSuspicions(prompt_evidence &message) const;
    void addAnswers(std::uint64_t part, prompt_evidence &message) const;
    part_losses lossesOf(std::uint64_t part, const part_suspicion &suspected) const;

    std::map<std::uint64_t, part_suspicion> m_suspicions;
    /// Refused parts, and the losses that are attributed to each.
    std::map<std::uint64_t, attributed_losses> m_refused;
    std::map<std::uint64_t, answered_part> m_answered;
    /// Parts and services of which an answer has lasted, and when.
    std::map<std::uint64_t, base::time_point> m_lasted;
    /// Requests that have been answered, and when.
    std::map<std::uint64_t, base::time_point> m_answeredRequests;
    /// Answered parts that the other nodes have not been told of.
    std::set<std::uint64_t> m_unannounced;
    /// Refused parts that requests have asked for since the last message.
    std::set<std::uint64_t> m_wanted;
    /// Parts that this node may try, and until when.
    std::map<std::uint64_t, base::time_point> m_trials;
    std::function<void()> m_lossListener;
    std::function<void(std::uint64_t, std::size_t)> m_refusalListener;
};

} // namespace chervilbend::routing
