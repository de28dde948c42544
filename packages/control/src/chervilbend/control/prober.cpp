#include <chervilbend/control/prober.hpp>

#include <chervilbend/control/gossip_codec.hpp>
#include <chervilbend/membership/rendezvous.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace chervilbend::control
{

namespace
{

constexpr base::milliseconds probeInterval{1'000};
/// A round trip takes about 10 ms; the rest allows for a heavily loaded host.
constexpr base::milliseconds answerTimeout{500};
/// Time-out of an indirect probe: to the helper, to the member and back.
constexpr base::milliseconds relayTimeout{1'500};
constexpr std::size_t helperCount = 3;

} // namespace

/// Answers direct probes.
class prober::probe_method : public peers::rpc_method
{
public:
    explicit probe_method(membership::member_table &members)
        : m_members(members)
    {
    }

    std::string name() const override
    {
        return "probe";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        const std::optional<membership::gossip> message = decodeGossip(parameters);
        if (!message) {
            return fail(base::error_kind::badRequest, "the probe is malformed");
        }
        m_members.receive(*message, true);
        return encodeGossip(m_members.takeGossip(message->sender.id));
    }

private:
    membership::member_table &m_members;
};

/// Probes a member on behalf of another node and sends the answer to that node's relay method.
class prober::indirect_probe_method : public peers::rpc_method
{
public:
    explicit indirect_probe_method(prober &owner)
        : m_owner(owner)
    {
    }

    std::string name() const override
    {
        return "probe-for";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        const std::optional<membership::gossip> message = decodeGossip(parameters);
        const std::optional<net::address> requester = message ? net::parseAddress(message->sender.address) : std::nullopt;
        if (!requester || !parameters["target"].isString()) {
            return fail(base::error_kind::badRequest, "the indirect probe request is malformed");
        }
        m_owner.m_members.receive(*message, true);
        if (const membership::member *target = m_owner.m_members.find(base::node_id(parameters["target"].asString()))) {
            m_owner.spawn(m_owner.probeOnBehalf(*target, *requester));
        }
        return Json::Value(Json::objectValue);
    }

private:
    prober &m_owner;
};

/// Receives the answer of a member that another node has probed on behalf of this one.
class prober::relay_method : public peers::rpc_method
{
public:
    explicit relay_method(prober &owner)
        : m_owner(owner)
    {
    }

    std::string name() const override
    {
        return "probe-relay";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        const std::optional<membership::gossip> answer = decodeGossip(parameters);
        if (!answer) {
            return fail(base::error_kind::badRequest, "the relayed answer is malformed");
        }
        m_owner.m_relayedAt[answer->sender.id] = base::clock::now();
        m_owner.m_members.receive(*answer, true);
        return Json::Value(Json::objectValue);
    }

private:
    prober &m_owner;
};

prober::prober(boost::asio::any_io_executor executor, membership::member_table &members, peers::rpc_caller &caller)
    : m_executor(std::move(executor))
    , m_members(members)
    , m_caller(caller)
{
}

std::vector<std::shared_ptr<peers::rpc_method>> prober::methods()
{
    return {std::make_shared<probe_method>(m_members), std::make_shared<indirect_probe_method>(*this), std::make_shared<relay_method>(*this)};
}

void prober::spawn(boost::asio::awaitable<void> task)
{
    boost::asio::co_spawn(m_executor, std::move(task), boost::asio::detached);
}

boost::asio::awaitable<void> prober::run()
{
    while (true) {
        // Runs as a separate task, since a failing probe takes longer than the interval and must not delay the next one.
        spawn(probeOnce());
        m_members.advance();
        co_await net::sleepFor(probeInterval);
    }
}

boost::asio::awaitable<void> prober::probeOnce()
{
    const std::optional<membership::member> target = m_members.nextProbe();
    if (!target) {
        co_return;
    }
    const bool answered = co_await probe(*target);
    if (answered) {
        co_return;
    }
    const base::time_point requestedAt = base::clock::now();
    for (const membership::member &helper : m_members.relaysFor(target->id, helperCount)) {
        Json::Value message = encodeGossip(m_members.takeGossip(helper.id));
        message["target"] = target->id.value();
        spawn(callAndIgnoreAnswer("probe-for", helper.address, std::move(message)));
    }
    co_await net::sleepFor(relayTimeout);
    const auto relayed = m_relayedAt.find(target->id);
    if (relayed == m_relayedAt.end() || relayed->second < requestedAt) {
        m_members.probeFailed(target->id);
    }
}

boost::asio::awaitable<bool> prober::probe(membership::member target)
{
    const std::optional<net::address> parsedAddress = net::parseAddress(target.address);
    if (!parsedAddress) {
        co_return false;
    }
    Json::Value message = encodeGossip(m_members.takeGossip(target.id));
    const std::optional<Json::Value> answer = co_await m_caller.call(*parsedAddress, "probe", std::move(message), answerTimeout);
    const std::optional<membership::gossip> gossip = answer ? decodeGossip(*answer) : std::nullopt;
    if (!gossip) {
        co_return false;
    }
    m_members.receive(*gossip, true);
    // An answer from a different node at this address does not show that the member is alive.
    co_return gossip->sender.id == target.id;
}

boost::asio::awaitable<void> prober::probeOnBehalf(membership::member target, net::address requester)
{
    const bool answered = co_await probe(target);
    const membership::member *known = m_members.find(target.id);
    if (answered && known) {
        membership::gossip relayed;
        relayed.sender = *known;
        relayed.sender.state = membership::member_state::alive;
        const Json::Value message = encodeGossip(relayed);
        co_await m_caller.call(requester, "probe-relay", message, answerTimeout);
    }
}

boost::asio::awaitable<void> prober::callAndIgnoreAnswer(std::string method, std::string address, Json::Value message)
{
    if (const std::optional<net::address> parsedAddress = net::parseAddress(address)) {
        co_await m_caller.call(*parsedAddress, method, std::move(message), answerTimeout);
    }
}

void prober::broadcastSuspicion(membership::crash_suspicion suspicion)
{
    m_members.addCrashSuspicion(suspicion);
    for (const membership::member &member : m_members.live()) {
        if (member.id != m_members.self().id && member.zone == m_members.self().zone) {
            membership::gossip message;
            message.sender = m_members.self();
            message.crashSuspicions.push_back(suspicion);
            spawn(callAndIgnoreAnswer("probe", member.address, encodeGossip(message)));
        }
    }
}

/// Number of outstanding answers, and a timer that is cancelled when the last one has been received.
struct prober::pending_answers {
    explicit pending_answers(const boost::asio::any_io_executor &executor)
        : done(executor)
    {
    }

    int count = 0;
    net::timer done;
};

boost::asio::awaitable<void> prober::announceLeaving()
{
    m_members.announceLeaving();
    const auto pending = std::make_shared<pending_answers>(m_executor);
    pending->done.expires_after(answerTimeout);
    for (const base::node_id &id : membership::holderCandidates(m_members.eligibleHolders())) {
        const membership::member *member = m_members.find(id);
        if (member && id != m_members.self().id) {
            ++pending->count;
            spawn(callAndCountDown(member->address, encodeGossip(m_members.takeGossip(id)), pending));
        }
    }
    if (pending->count > 0) {
        co_await pending->done.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

boost::asio::awaitable<void> prober::callAndCountDown(std::string address, Json::Value message, std::shared_ptr<pending_answers> pending)
{
    co_await callAndIgnoreAnswer("probe", std::move(address), std::move(message));
    if (--pending->count == 0) {
        pending->done.cancel();
    }
}

} // namespace chervilbend::control
