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
/// Round trips are about 10 ms; the rest allows for a busy host.
constexpr base::milliseconds answerTimeout{500};
/// For an indirect probe: to the helper, to the member and back.
constexpr base::milliseconds relayTimeout{1'500};
constexpr std::size_t helperCount = 3;

} // namespace

/// Answers a probe.
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

/// Probes a member for another node; the answer goes to that node's relay method.
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
        const std::optional<net::address> asker = message ? net::parseAddress(message->sender.address) : std::nullopt;
        if (!asker || !parameters["target"].isString()) {
            return fail(base::error_kind::badRequest, "the request for a probe is malformed");
        }
        m_owner.m_members.receive(*message, true);
        if (const membership::member *target = m_owner.m_members.find(base::node_id(parameters["target"].asString()))) {
            m_owner.start(m_owner.probeFor(*target, *asker));
        }
        return Json::Value(Json::objectValue);
    }

private:
    prober &m_owner;
};

/// Takes the answer of a member that another node has probed for this one.
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

void prober::start(boost::asio::awaitable<void> task)
{
    boost::asio::co_spawn(m_executor, std::move(task), boost::asio::detached);
}

boost::asio::awaitable<void> prober::run()
{
    while (true) {
        // A probe that fails takes longer than the interval; the next one does not wait for it.
        start(probeOnce());
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
    const base::time_point askedAt = base::clock::now();
    for (const membership::member &helper : m_members.helpersFor(target->id, helperCount)) {
        Json::Value message = encodeGossip(m_members.takeGossip(helper.id));
        message["target"] = target->id.value();
        start(tell("probe-for", helper.address, std::move(message)));
    }
    co_await net::sleepFor(relayTimeout);
    const auto relayed = m_relayedAt.find(target->id);
    if (relayed == m_relayedAt.end() || relayed->second < askedAt) {
        m_members.probeFailed(target->id);
    }
}

boost::asio::awaitable<bool> prober::probe(membership::member target)
{
    const std::optional<net::address> where = net::parseAddress(target.address);
    if (!where) {
        co_return false;
    }
    Json::Value message = encodeGossip(m_members.takeGossip(target.id));
    const std::optional<Json::Value> answer = co_await m_caller.call(*where, "probe", std::move(message), answerTimeout);
    const std::optional<membership::gossip> gossip = answer ? decodeGossip(*answer) : std::nullopt;
    if (!gossip) {
        co_return false;
    }
    m_members.receive(*gossip, true);
    // Another node at this address does not speak for the member.
    co_return gossip->sender.id == target.id;
}

boost::asio::awaitable<void> prober::probeFor(membership::member target, net::address asker)
{
    const bool answered = co_await probe(target);
    const membership::member *known = m_members.find(target.id);
    if (answered && known) {
        membership::gossip relayed;
        relayed.sender = *known;
        relayed.sender.state = membership::member_state::alive;
        const Json::Value message = encodeGossip(relayed);
        co_await m_caller.call(asker, "probe-relay", message, answerTimeout);
    }
}

boost::asio::awaitable<void> prober::tell(std::string method, std::string address, Json::Value message)
{
    if (const std::optional<net::address> where = net::parseAddress(address)) {
        co_await m_caller.call(*where, method, std::move(message), answerTimeout);
    }
}

void prober::broadcastSuspicion(membership::crash_suspicion suspicion)
{
    m_members.addSuspicion(suspicion);
    for (const membership::member &member : m_members.live()) {
        if (member.id != m_members.self().id && member.zone == m_members.self().zone) {
            membership::gossip message;
            message.sender = m_members.self();
            message.suspicions.push_back(suspicion);
            start(tell("probe", member.address, encodeGossip(message)));
        }
    }
}

/// Answers that have not arrived, and the timer that is cancelled when the last one has.
struct prober::open_answers {
    explicit open_answers(const boost::asio::any_io_executor &executor)
        : done(executor)
    {
    }

    int count = 0;
    net::timer done;
};

boost::asio::awaitable<void> prober::announceLeaving()
{
    m_members.announceLeaving();
    const auto open = std::make_shared<open_answers>(m_executor);
    open->done.expires_after(answerTimeout);
    for (const base::node_id &id : membership::holderCandidates(m_members.eligibleHolders())) {
        const membership::member *member = m_members.find(id);
        if (member && id != m_members.self().id) {
            ++open->count;
            start(tellAndCount(member->address, encodeGossip(m_members.takeGossip(id)), open));
        }
    }
    if (open->count > 0) {
        co_await open->done.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

boost::asio::awaitable<void> prober::tellAndCount(std::string address, Json::Value message, std::shared_ptr<open_answers> open)
{
    co_await tell("probe", std::move(address), std::move(message));
    if (--open->count == 0) {
        open->done.cancel();
    }
}

} // namespace chervilbend::control
