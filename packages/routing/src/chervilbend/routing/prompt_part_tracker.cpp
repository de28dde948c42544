#include <chervilbend/routing/prompt_part_tracker.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// Time from a loss or a trial to the next trial of the part.
constexpr base::milliseconds trialInterval{10'000};
/// How long a node may use a trial that it was granted.
constexpr base::milliseconds trialLifetime{2'000};
constexpr base::milliseconds suspicionLifetime{3'600'000};
/// How long an answer speaks for a part. A part can become fatal later, for example with another version of an engine or its weights.
constexpr base::milliseconds answerLifetime{60'000};
/// How often a part that is still being answered is announced again.
constexpr base::milliseconds announcementInterval = answerLifetime / 2;
constexpr std::size_t maxSuspicions = 512;
constexpr std::size_t maxAnswered = 8'192;
constexpr std::size_t maxAnsweredRequests = 1'024;
constexpr std::size_t maxLasted = 8'192;
/// Bounds of one message, in parts, and in processes over all parts.
constexpr std::size_t maxAnsweredPerMessage = 96;
constexpr std::size_t maxSuspicionsPerMessage = 48;
constexpr std::size_t maxLossesPerMessage = 384;
/// Bounds of refusedEvidence(), which is kept in the platform's store.
constexpr std::size_t maxKeptParts = 16;
constexpr std::size_t maxKeptLossesPerPart = 16;

/// When there are more than @p limit entries, removes the older half, so that the cost of a removal is spread over many insertions.
template<typename Map, typename TimeOf>
void evictOldest(Map &entries, std::size_t limit, TimeOf timeOf)
{
    if (entries.size() <= limit) {
        return;
    }
    std::vector<base::time_point> times;
    times.reserve(entries.size());
    for (const auto &entry : entries) {
        times.push_back(timeOf(entry));
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(entries, [&](const auto &each) { return timeOf(each) < *middle; });
    // Many entries may have the same time.
    while (entries.size() > limit) {
        entries.erase(std::min_element(entries.begin(), entries.end(), [&](const auto &a, const auto &b) { return timeOf(a) < timeOf(b); }));
    }
}

} // namespace

void prompt_part_tracker::onRefusal(std::function<void(std::uint64_t, std::size_t)> listener)
{
    m_refusalListener = std::move(listener);
}

std::optional<base::time_point> prompt_part_tracker::answeredAt(std::uint64_t part) const
{
    base::time_point latest = base::time_point::min();
    if (const auto answered = m_answered.find(part); answered != m_answered.end()) {
        latest = answered->second.answeredAt;
    }
    if (const auto request = m_answeredRequests.find(part); request != m_answeredRequests.end()) {
        latest = std::max(latest, request->second);
    }
    return latest >= base::clock::now() - answerLifetime ? std::optional(latest) : std::nullopt;
}

void prompt_part_tracker::onLoss(std::function<void()> listener)
{
    m_lossListener = std::move(listener);
}

std::optional<base::time_point> prompt_part_tracker::lastedAt(std::uint64_t partOrService) const
{
    std::optional<base::time_point> latest;
    if (const auto lasted = m_lasted.find(partOrService); lasted != m_lasted.end()) {
        latest = lasted->second;
    }
    if (const auto request = m_answeredRequests.find(partOrService); request != m_answeredRequests.end()) {
        latest = latest ? std::max(*latest, request->second) : request->second;
    }
    return latest;
}

std::map<std::uint64_t, base::time_point> prompt_part_tracker::countedLosses(std::uint64_t part, const part_suspicion &suspected) const
{
    return suspected.lossesSince(lastedAt(part));
}

void prompt_part_tracker::recordLoss(const std::vector<std::uint64_t> &parts, std::uint64_t process, const lost_attempt &attempt)
{
    expire();
    for (const std::uint64_t part : parts) {
        addLoss(part, process, base::clock::now(), attempt);
    }
    decide();
    if (!parts.empty() && m_lossListener) {
        m_lossListener();
    }
}

void prompt_part_tracker::addLoss(std::uint64_t part, std::uint64_t process, base::time_point when, const lost_attempt &attempt)
{
    part_suspicion &suspected = m_suspicions[part];
    suspected.add(process, when);
    suspected.service = attempt.service;
    if (const std::optional<base::time_point> lasted = lastedAt(attempt.service); lasted && *lasted <= when) {
        suspected.noteOtherAnswer(*lasted);
    }
    suspected.hasBeenAnswered = suspected.hasBeenAnswered || attempt.hadBegun || isAnswered(part);
    evictOldest(
        m_suspicions, maxSuspicions, [this](const auto &each) { return m_refused.contains(each.first) ? base::time_point::max() : each.second.lastLoss; });
}

std::optional<refusal_candidate> prompt_part_tracker::candidate(std::uint64_t part, const part_suspicion &suspected) const
{
    if (suspected.losses.size() < lossesToRefuse) {
        return std::nullopt;
    }
    refusal_candidate result{.part = part, .losses = countedLosses(part, suspected), .needsSeveralMoments = suspected.hasBeenAnswered};
    if (result.losses.size() < lossesToRefuse) {
        return std::nullopt;
    }
    if (isAnswered(part)) {
        // No answer on the part has lasted since its first loss, so the other one was without it. One after the last loss would prove nothing:
        // after an outage of all endpoints some part is the first one to be answered again.
        const auto earlier = [](const auto &a, const auto &b) {
            return a.second < b.second;
        };
        const base::time_point firstLoss = std::min_element(result.losses.begin(), result.losses.end(), earlier)->second;
        result.isUnproven = !suspected.otherAnswer || *suspected.otherAnswer <= firstLoss;
    }
    return result;
}

void prompt_part_tracker::decide()
{
    std::vector<refusal_candidate> candidates;
    for (const auto &[part, suspected] : m_suspicions) {
        if (std::optional<refusal_candidate> possible = candidate(part, suspected)) {
            candidates.push_back(std::move(*possible));
        }
    }
    const std::map<std::uint64_t, attributed_losses> before =
        std::exchange(m_refused, attributeLosses(std::move(candidates), {lossesToRefuse, lossesForCertainty}));
    for (const auto &[part, losses] : m_refused) {
        if (m_refusalListener && !before.contains(part)) {
            m_refusalListener(part, losses.processes);
        }
    }
}

void prompt_part_tracker::recordAnswer(const std::vector<std::uint64_t> &parts)
{
    for (const std::uint64_t part : parts) {
        noteAnswered(part, base::clock::now());
        announce(part);
    }
}

void prompt_part_tracker::recordLastingAnswer(const std::vector<std::uint64_t> &parts, std::uint64_t service)
{
    noteLasted(service, base::clock::now());
    for (const std::uint64_t part : parts) {
        const auto suspected = m_suspicions.find(part);
        if (suspected != m_suspicions.end() && !countedLosses(part, suspected->second).empty()) {
            m_unannounced.insert(part);
        }
        noteLasted(part, base::clock::now());
    }
    if (!m_suspicions.empty()) {
        decide();
    }
}

void prompt_part_tracker::recordAnsweredRequest(std::uint64_t fingerprint)
{
    const bool isFirst = m_answeredRequests.insert_or_assign(fingerprint, base::clock::now()).second;
    if (!isFirst || m_suspicions.contains(fingerprint)) {
        noteAnswered(fingerprint, base::clock::now());
        announce(fingerprint);
    } else {
        evictOldest(m_answeredRequests, maxAnsweredRequests, [](const auto &each) { return each.second; });
    }
}

void prompt_part_tracker::noteAnswered(std::uint64_t part, base::time_point when)
{
    const auto [known, isNew] = m_answered.try_emplace(part, answered_part{when});
    known->second.answeredAt = std::max(known->second.answeredAt, when);
    if (isNew) {
        evictOldest(m_answered, maxAnswered, [](const auto &each) { return each.second.answeredAt; });
    }
    if (const auto suspected = m_suspicions.find(part); suspected != m_suspicions.end() && !suspected->second.hasBeenAnswered) {
        suspected->second.hasBeenAnswered = true;
        decide();
    }
}

void prompt_part_tracker::noteLasted(std::uint64_t partOrService, base::time_point when)
{
    const auto [known, isNew] = m_lasted.try_emplace(partOrService, when);
    known->second = std::max(known->second, when);
    if (isNew) {
        evictOldest(m_lasted, maxLasted, [](const auto &each) { return each.second; });
    }
}

void prompt_part_tracker::announce(std::uint64_t part)
{
    const auto known = m_answered.find(part);
    const base::time_point now = base::clock::now();
    if (known == m_answered.end() || known->second.announcedAt > now - announcementInterval) {
        return;
    }
    known->second.announcedAt = now;
    m_unannounced.insert(part);
    if (m_unannounced.size() > maxAnswered) {
        m_unannounced.erase(m_unannounced.begin());
    }
}

void prompt_part_tracker::merge(const prompt_evidence &remote)
{
    const base::time_point now = base::clock::now();
    for (const auto &[part, age] : remote.answered) {
        if (age < answerLifetime) {
            noteAnswered(part, now - age);
        }
    }
    for (const auto &[partOrService, age] : remote.lasted) {
        noteLasted(partOrService, now - age);
    }
    mergeLosses(remote);
    expire();
    decide();
    for (const std::uint64_t part : remote.trials) {
        m_trials[part] = now + trialLifetime;
    }
}

void prompt_part_tracker::mergeLosses(const prompt_evidence &remote)
{
    const base::time_point now = base::clock::now();
    for (const auto &[part, lost] : remote.lost) {
        const std::optional<base::time_point> lasted = lastedAt(part);
        for (const auto &[process, age] : lost.processes) {
            if (age >= suspicionLifetime) {
                continue;
            }
            if (lasted && now - age <= *lasted) {
                m_unannounced.insert(part);
                continue;
            }
            addLoss(part, process, now - age, {lost.service, lost.hasBeenAnswered});
        }
        if (const auto suspected = m_suspicions.find(part); suspected != m_suspicions.end() && lost.otherAnswer) {
            suspected->second.noteOtherAnswer(now - *lost.otherAnswer);
        }
        if (isAnswered(part) && !lost.hasBeenAnswered) {
            m_unannounced.insert(part);
        }
    }
    // From a node of an earlier version, which does not tell when the processes were lost.
    for (const auto &[part, processes] : remote.losses) {
        if (remote.lost.contains(part)) {
            continue;
        }
        if (isAnswered(part)) {
            m_unannounced.insert(part);
            continue;
        }
        for (const std::uint64_t process : processes) {
            addLoss(part, process, now, {});
        }
    }
}

bool prompt_part_tracker::takeTrial(std::uint64_t part)
{
    const auto granted = m_trials.find(part);
    if (granted == m_trials.end()) {
        if (m_wanted.size() < maxSuspicionsPerMessage) {
            m_wanted.insert(part);
        }
        return false;
    }
    const bool isValid = base::clock::now() < granted->second;
    m_trials.erase(granted);
    return isValid;
}

std::vector<std::uint64_t> prompt_part_tracker::grantTrials(const std::vector<std::uint64_t> &wanted)
{
    const base::time_point now = base::clock::now();
    std::vector<std::uint64_t> granted;
    for (const std::uint64_t part : wanted) {
        const auto refused = m_refused.find(part);
        const auto suspected = m_suspicions.find(part);
        if (refused == m_refused.end() || suspected == m_suspicions.end() || refused->second.isCertain
            || now < std::max(suspected->second.lastLoss, suspected->second.lastTrial) + trialInterval) {
            continue;
        }
        suspected->second.lastTrial = now;
        granted.push_back(part);
    }
    return granted;
}

void prompt_part_tracker::addAnswers(std::uint64_t part, prompt_evidence &message) const
{
    const base::time_point now = base::clock::now();
    if (const std::optional<base::time_point> when = answeredAt(part)) {
        message.answered.emplace(part, now - *when);
    }
    if (const std::optional<base::time_point> when = lastedAt(part)) {
        message.lasted.emplace(part, now - *when);
    }
}

prompt_evidence prompt_part_tracker::takeNews()
{
    prompt_evidence news;
    addSuspicions(news);
    while (!m_unannounced.empty() && std::max(news.answered.size(), news.lasted.size()) < maxAnsweredPerMessage) {
        addAnswers(m_unannounced.extract(m_unannounced.begin()).value(), news);
    }
    news.wanted.assign(m_wanted.begin(), m_wanted.end());
    m_wanted.clear();
    return news;
}

void prompt_part_tracker::announceAgain()
{
    for (const auto &[part, answered] : m_answered) {
        m_unannounced.insert(part);
    }
}

void prompt_part_tracker::announceAgain(const std::map<std::uint64_t, base::milliseconds> &answered)
{
    for (const auto &[part, age] : answered) {
        m_unannounced.insert(part);
    }
}

prompt_evidence prompt_part_tracker::responseTo(const prompt_evidence &remote)
{
    prompt_evidence response;
    addSuspicions(response);
    for (const auto &[part, processes] : remote.losses) {
        addAnswers(part, response);
    }
    for (const auto &[part, lost] : remote.lost) {
        addAnswers(part, response);
    }
    response.trials = grantTrials(remote.wanted);
    return response;
}

std::vector<std::uint64_t> prompt_part_tracker::suspectedParts() const
{
    struct suspect {
        std::size_t refusedLosses;
        std::size_t losses;
        base::time_point lastLoss;
        std::uint64_t part;

        auto operator<=>(const suspect &) const = default;
    };
    std::vector<suspect> suspects;
    for (const auto &[part, suspected] : m_suspicions) {
        const std::size_t losses = countedLosses(part, suspected).size();
        if (losses > 0) {
            const auto refused = m_refused.find(part);
            suspects.push_back({refused == m_refused.end() ? 0 : refused->second.processes, losses, suspected.lastLoss, part});
        }
    }
    std::sort(suspects.begin(), suspects.end(), std::greater<>());
    std::vector<std::uint64_t> parts;
    parts.reserve(suspects.size());
    for (const suspect &each : suspects) {
        parts.push_back(each.part);
    }
    return parts;
}

part_losses prompt_part_tracker::lossesOf(std::uint64_t part, const part_suspicion &suspected) const
{
    const base::time_point now = base::clock::now();
    part_losses told;
    told.service = suspected.service;
    told.hasBeenAnswered = suspected.hasBeenAnswered;
    if (suspected.otherAnswer) {
        told.otherAnswer = now - *suspected.otherAnswer;
    }
    for (const auto &[process, when] : countedLosses(part, suspected)) {
        told.processes.emplace(process, now - when);
    }
    return told;
}

prompt_evidence prompt_part_tracker::refusedEvidence() const
{
    prompt_evidence evidence;
    for (const std::uint64_t part : suspectedParts()) {
        if (!m_refused.contains(part) || evidence.lost.size() == maxKeptParts) {
            break;
        }
        part_losses &kept = evidence.lost[part];
        kept = lossesOf(part, m_suspicions.at(part));
        while (kept.processes.size() > maxKeptLossesPerPart) {
            const auto older = [](const auto &a, const auto &b) {
                return a.second < b.second;
            };
            kept.processes.erase(std::max_element(kept.processes.begin(), kept.processes.end(), older));
        }
    }
    return evidence;
}

void prompt_part_tracker::addSuspicions(prompt_evidence &message) const
{
    std::size_t room = maxLossesPerMessage;
    for (const std::uint64_t part : suspectedParts()) {
        const part_suspicion &suspected = m_suspicions.at(part);
        part_losses told = lossesOf(part, suspected);
        if (message.lost.size() == maxSuspicionsPerMessage || told.processes.size() > room) {
            break;
        }
        room -= told.processes.size();
        if (!suspected.hasBeenAnswered && !isAnswered(part)) {
            for (const auto &[process, age] : told.processes) {
                message.losses[part].insert(process);
            }
        }
        message.lost.emplace(part, std::move(told));
        addAnswers(part, message);
        addAnswers(suspected.service, message);
    }
}

std::optional<std::uint64_t> prompt_part_tracker::refusedPart(const std::vector<std::uint64_t> &parts) const
{
    for (const std::uint64_t part : parts) {
        if (m_refused.contains(part)) {
            return part;
        }
    }
    return std::nullopt;
}

std::size_t prompt_part_tracker::refusedParts() const
{
    return m_refused.size();
}

void prompt_part_tracker::expire()
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_suspicions, [&](const auto &each) {
        const bool isCleared = each.second.lastLoss < now - answerLifetime && countedLosses(each.first, each.second).empty();
        return isCleared || each.second.lastLoss < now - suspicionLifetime;
    });
    std::erase_if(m_lasted, [&](const auto &each) { return each.second < now - suspicionLifetime; });
    std::erase_if(m_answered, [&](const auto &each) { return each.second.answeredAt < now - answerLifetime; });
    std::erase_if(m_answeredRequests, [&](const auto &each) { return each.second < now - answerLifetime; });
}

} // namespace chervilbend::routing
