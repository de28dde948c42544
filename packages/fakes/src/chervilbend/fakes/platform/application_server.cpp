#include <chervilbend/fakes/platform/application_server.hpp>

#include <chervilbend/fakes/platform/metadata_store.hpp>
#include <chervilbend/fakes/platform/raw_connection.hpp>
#include <chervilbend/fakes/platform/run_observer.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{

constexpr base::milliseconds heartbeatInterval{1'200};
/// The platform removes a registration after three intervals of silence.
constexpr base::milliseconds registrationLife = heartbeatInterval * 3;
constexpr base::milliseconds slotPollInterval{2};
constexpr base::milliseconds shortestCopyDelay{1};
constexpr base::milliseconds longestCopyDelay{60};
constexpr base::milliseconds eventGap{20};
constexpr int queuedPerSlot = 1;
constexpr std::array<std::string_view, 4> statusesOutsideHttp{"000", "099", "600", "999"};

std::string fieldOf(const net::http_request &request, std::string_view name)
{
    return std::string(request[boost::beast::string_view(name.data(), name.size())]);
}

/// All values of the field, separated by commas.
std::string allValuesOf(const net::http_request &request, std::string_view name)
{
    std::string list;
    const auto [begin, end] = request.equal_range(boost::beast::string_view(name.data(), name.size()));
    for (auto field = begin; field != end; ++field) {
        list.append(field == begin ? "" : ",").append(field->value().data(), field->value().size());
    }
    return list;
}

std::optional<std::int64_t> numberOf(const net::http_request &request, std::string_view name)
{
    const std::string text = fieldOf(request, name);
    std::int64_t number = 0;
    const bool isNumber = std::from_chars(text.data(), text.data() + text.size(), number).ec == std::errc{};
    return isNumber ? std::optional(number) : std::nullopt;
}

base::milliseconds timeFor(const net::http_request &request)
{
    constexpr std::int64_t msWithoutDeadline = 10'000;
    return base::milliseconds(numberOf(request, "Chervilbend-Deadline-Milliseconds").value_or(msWithoutDeadline));
}

std::string message(std::string_view status, const std::string &fields, const std::string &body = {})
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHeader(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Names no attempt if @p attempt is empty.
std::string refusal(const std::string &attempt)
{
    return message("503 Busy", (attempt.empty() ? "" : "Chervilbend-Attempt-Id: " + attempt + "\r\n") + "Chervilbend-Not-Executed: 1\r\n");
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

bool runs(answer_form form)
{
    return form == answer_form::proper || form >= answer_form::ranAfterEarlierRefusal;
}

} // namespace

/// One life of the server, from its start to its end.
struct application_server::incarnation {
    incarnation(const asio::any_io_executor &executor, std::string name, std::uint16_t port)
        : id(std::move(name))
        , acceptor(executor, {asio::ip::address_v4::loopback(), port})
        , bornAt(base::clock::wallNow())
    {
    }

    std::string id;
    asio::ip::tcp::acceptor acceptor;
    base::milliseconds bornAt;
    std::set<std::shared_ptr<raw_connection>> connections;
    bool isAlive = true;
    bool accepts = true;
    int running = 0;
    int queued = 0;
    int heartbeats = 0;
};

/// A connection with what an earlier refusal on it left behind.
struct application_server::served_connection {
    std::shared_ptr<raw_connection> caller;
    /// The attempts that were refused on it.
    std::set<std::string> refused;
    /// The copy of a refusal that is written with the next answer; empty if none is.
    std::string copyBeforeNext;
    std::string copyWithinNext;
    /// A copy of an answer comes at any time.
    bool hasLateCopy = false;
};

application_server::application_server(
    const asio::any_io_executor &executor, metadata_store &store, run_observer &observer, application_server_options options, std::uint64_t seed)
    : m_executor(executor)
    , m_store(store)
    , m_observer(observer)
    , m_options(std::move(options))
    , m_random(seed)
    , m_feed(seed + 1)
{
}

application_server::~application_server() = default;

std::string application_server::unnamedBody(const std::string &attempt)
{
    return "failed " + attempt;
}

void application_server::start(bool keepsId)
{
    m_lives += keepsId && m_lives > 0 ? 0 : 1;
    m_life = std::make_shared<incarnation>(m_executor, "i-" + m_options.name + "-" + std::to_string(m_lives), m_options.port);
    asio::co_spawn(m_executor, accept(m_life), asio::detached);
    asio::co_spawn(m_executor, keepRegistered(m_life), asio::detached);
    if (m_options.feedsPause) {
        asio::co_spawn(m_executor, m_feed.pauseNowAndThen([life = m_life] { return life->isAlive; }), asio::detached);
    }
}

void application_server::crash()
{
    const std::shared_ptr<incarnation> life = std::exchange(m_life, nullptr);
    if (!life) {
        return;
    }
    life->isAlive = false;
    boost::system::error_code ignored;
    life->acceptor.close(ignored);
    for (const std::shared_ptr<raw_connection> &connection : std::exchange(life->connections, {})) {
        connection->reset();
    }
}

void application_server::stall(base::milliseconds duration)
{
    m_stalledUntil = base::clock::now() + duration;
}

void application_server::stopAccepting()
{
    if (m_life) {
        boost::system::error_code ignored;
        m_life->accepts = false;
        m_life->acceptor.close(ignored);
    }
}

void application_server::resumeAccepting()
{
    if (m_life && !m_life->accepts) {
        m_life->acceptor = asio::ip::tcp::acceptor(m_executor, {asio::ip::address_v4::loopback(), m_options.port});
        m_life->accepts = true;
        asio::co_spawn(m_executor, accept(m_life), asio::detached);
    }
}

void application_server::setService(std::string service)
{
    m_options.service = std::move(service);
}

asio::awaitable<void> application_server::accept(std::shared_ptr<incarnation> life)
{
    while (life->isAlive && life->accepts) {
        auto [error, socket] = co_await life->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!error && life->isAlive) {
            const auto caller = std::make_shared<raw_connection>(std::move(socket));
            life->connections.insert(caller);
            asio::co_spawn(m_executor, serve(life, caller), asio::detached);
        }
    }
}

asio::awaitable<void> application_server::keepRegistered(std::shared_ptr<incarnation> life)
{
    while (life->isAlive) {
        m_store.putServer(life->id,
                          "{\"service\":\"" + m_options.service + "\",\"address\":\"127.0.0.1:" + std::to_string(m_options.registeredPort)
                              + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
                              + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(++life->heartbeats)
                              + ",\"born\":" + std::to_string(life->bornAt.count()) + "}");
        co_await net::sleepFor(heartbeatInterval);
    }
    co_await net::sleepFor(registrationLife - heartbeatInterval);
    const bool hasIdOfAnotherLife = m_life && m_life->id == life->id;
    if (!hasIdOfAnotherLife) {
        m_store.putServer(life->id, "");
    }
}

asio::awaitable<void> application_server::serve(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller)
{
    const auto served = std::make_shared<served_connection>();
    served->caller = caller;
    bool isOpen = true;
    while (isOpen && life->isAlive) {
        isOpen = co_await caller->readHeader();
        co_await standStill();
        if (isOpen && life->isAlive) {
            isOpen = co_await answer(life, served);
        }
    }
    life->connections.erase(caller);
    caller->close();
}

asio::awaitable<bool> application_server::answer(std::shared_ptr<incarnation> life, std::shared_ptr<served_connection> served)
{
    const std::shared_ptr<raw_connection> caller = served->caller;
    const std::string attempt = fieldOf(caller->request(), "Chervilbend-Attempt-Id");
    const std::string target(caller->request().target());
    if (!fieldOf(caller->request(), "Authorization").empty()) {
        m_observer.onAuthorization(attempt);
    }
    if (target == "/health") {
        co_return caller->write(message("200 OK", "Chervilbend-Instance-Id: " + life->id + "\r\n"));
    }
    const std::string expected = fieldOf(caller->request(), "Chervilbend-Expect-Instance");
    const bool isMisdirected = !expected.empty() && expected != life->id;
    const bool isRepeat = served->refused.contains(attempt);
    if (isRepeat) {
        m_observer.onRepeatOnConnection();
    }
    // What was refused here is served when it comes again, after the copy of its refusal.
    const bool isProper = attempt.empty() || isMisdirected || isRepeat;
    const answer_form form = isProper ? answer_form::proper : drawForm();
    if (form == answer_form::refusedBeforeBody || form == answer_form::refusedBeforeBodyAndReset) {
        co_return co_await refuse(served, attempt, form);
    }
    const bool isComplete = co_await caller->readBody();
    if (!isComplete) {
        co_return false;
    }
    caller->write(std::exchange(served->copyBeforeNext, {}));
    if (attempt.empty()) {
        co_return caller->write(message("400 Bad", "Chervilbend-Not-Executed: 1\r\n"));
    }
    if (isMisdirected) {
        co_return caller->write(message("421 Misdirected", "Chervilbend-Attempt-Id: " + attempt + "\r\nChervilbend-Instance-Id: " + life->id + "\r\n"));
    }
    if (!runs(form)) {
        co_return co_await refuse(served, attempt, form);
    }
    const base::time_point deadline = base::clock::now() + timeFor(caller->request());
    const bool hasSlot = co_await takeSlot(life, caller, deadline);
    if (!hasSlot) {
        co_return caller->write(refusal(attempt));
    }
    const bool isOpen = co_await run(life, served, form);
    --life->running;
    co_return isOpen;
}

asio::awaitable<bool> application_server::refuse(std::shared_ptr<served_connection> served, std::string attempt, answer_form form)
{
    const std::shared_ptr<raw_connection> caller = served->caller;
    served->refused.insert(attempt);
    const std::string text = refusal(attempt);
    bool isOpen = caller->write(text);
    switch (form) {
    case answer_form::refusedAndClosed:
        isOpen = false;
        break;
    case answer_form::refusedTwice:
        isOpen = isOpen && caller->write(text);
        break;
    case answer_form::refusedWithLateCopy:
        writeLater(served, {text});
        break;
    case answer_form::refusedWithUnnamedCopy:
        writeLater(served, {refusal({})});
        break;
    case answer_form::refusedWithCopyInParts:
        writeLater(served, {text.substr(0, text.size() / 2), text.substr(text.size() / 2)});
        break;
    case answer_form::refusedWithCopyBeforeNext:
        served->copyBeforeNext = text;
        break;
    case answer_form::refusedWithCopyWithinNext:
        served->copyWithinNext = text;
        break;
    case answer_form::refusedBeforeBody:
        isOpen = isOpen && co_await caller->readBody();
        break;
    case answer_form::refusedBeforeBodyAndReset:
        caller->reset();
        isOpen = false;
        break;
    default:
        break;
    }
    co_return isOpen;
}

asio::awaitable<bool> application_server::run(std::shared_ptr<incarnation> life, std::shared_ptr<served_connection> served, answer_form form)
{
    const std::shared_ptr<raw_connection> caller = served->caller;
    served_run run;
    run.attempt = fieldOf(caller->request(), "Chervilbend-Attempt-Id");
    run.target = std::string(caller->request().target());
    run.server = life->id;
    run.account = allValuesOf(caller->request(), "Chervilbend-Tenant");
    run.form = form;
    m_observer.onRun(run);
    if (served->hasLateCopy || !served->copyWithinNext.empty()) {
        m_observer.onSpoiltAnswer(run.attempt);
    }
    const base::milliseconds time = timeFor(caller->request());
    co_await net::sleepFor(base::milliseconds(m_random.between(m_options.shortestWork.count(), m_options.longestWork.count())));
    co_await standStill();
    if (!life->isAlive) {
        co_return false;
    }
    const std::string fields = "Chervilbend-Attempt-Id: " + run.attempt + "\r\nChervilbend-Response-Seal: " + life->id + "." + run.attempt + "\r\n";
    switch (form) {
    case answer_form::ranAndReset:
        caller->reset();
        co_return false;
    case answer_form::ranAndClosed:
        co_return false;
    case answer_form::ranAndCutInHeader:
        caller->write("HTTP/1.1 503 Busy\r\nChervilbend-Not-Exec");
        co_return false;
    case answer_form::ranAndBusy:
        co_return caller->write(message("503 Busy", fields));
    case answer_form::ranAfterEarlierRefusal:
        caller->write(refusal("0123456789abcdef"));
        break;
    case answer_form::ranAfterUnnamedRefusal:
        caller->write(refusal({}));
        break;
    case answer_form::ranWithStatusOutsideHttp:
        caller->write(message(drawStatusOutsideHttp(), fields));
        break;
    case answer_form::ranWithUnnamedStatus:
        co_return caller->write(message(std::to_string(unnamedStatus) + ' ' + std::string(unnamedReason), fields, unnamedBody(run.attempt)));
    case answer_form::ranWithInterimAnswers:
        caller->write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nChervilbend-Not-Executed: 1\r\n\r\n");
        break;
    case answer_form::ranTooLong:
        co_await net::sleepFor(time + longestCopyDelay);
        break;
    default:
        break;
    }
    if (run.target.starts_with("/feeds/")) {
        co_return co_await writeFeed(life, caller, fields);
    }
    co_return co_await writeAnswer(served, run, fields);
}

/// Goes on after the last event that the caller has.
asio::awaitable<bool> application_server::writeFeed(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller, std::string fields)
{
    const std::string target(caller->request().target());
    const base::time_point deadline = base::clock::now() + timeFor(caller->request());
    int event = static_cast<int>(numberOf(caller->request(), "Last-Event-Id").value_or(-1)) + 1;
    bool isOpen = caller->write(streamHeader(fields));
    for (; isOpen && event < event_feed::eventsOf(target); ++event) {
        co_await m_feed.waitForNext();
        co_await standStill();
        isOpen = life->isAlive && base::clock::now() < deadline && !caller->hasCallerLeft() && caller->write(chunk(event_feed::eventText(target, event)));
    }
    co_return isOpen && caller->write("0\r\n\r\n");
}

asio::awaitable<bool> application_server::writeAnswer(std::shared_ptr<served_connection> served, const served_run &run, std::string fields)
{
    const std::shared_ptr<raw_connection> caller = served->caller;
    const std::string copyWithin = std::exchange(served->copyWithinNext, {});
    const std::string attempt = run.attempt;
    const bool isCopied = run.form == answer_form::ranWithLateCopy;
    if (!run.target.starts_with("/streams/")) {
        const std::string body = "done " + attempt;
        std::string text = message("200 OK", fields + "Keep-Alive: timeout=30\r\n", body);
        text.insert(text.size() - body.size(), copyWithin);
        if (isCopied) {
            writeLater(served, {text});
        }
        co_return caller->write(text);
    }
    bool isOpen = caller->write(streamHeader(fields) + copyWithin);
    for (int event = 0; isOpen && event < eventsPerStream; ++event) {
        isOpen = caller->write(chunk(event_feed::eventText(attempt, event)));
        co_await net::sleepFor(eventGap);
        co_await standStill();
    }
    if (isCopied) {
        writeLater(served, {refusal(attempt)});
    }
    co_return isOpen && caller->write("0\r\n\r\n");
}

asio::awaitable<bool> application_server::takeSlot(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller, base::time_point deadline)
{
    if (life->running >= m_options.slots && life->queued >= m_options.slots * queuedPerSlot) {
        co_return false;
    }
    ++life->queued;
    while (life->isAlive && life->running >= m_options.slots && base::clock::now() < deadline && !caller->hasCallerLeft()) {
        co_await net::sleepFor(slotPollInterval);
    }
    --life->queued;
    const bool isTaken = life->isAlive && life->running < m_options.slots && base::clock::now() < deadline && !caller->hasCallerLeft();
    life->running += isTaken ? 1 : 0;
    co_return isTaken;
}

asio::awaitable<void> application_server::standStill()
{
    while (base::clock::now() < m_stalledUntil) {
        co_await net::sleepFor(m_stalledUntil - base::clock::now());
    }
}

void application_server::writeLater(const std::shared_ptr<served_connection> &served, std::vector<std::string> parts)
{
    served->hasLateCopy = true;
    const base::milliseconds delay(m_random.between(shortestCopyDelay.count(), longestCopyDelay.count()));
    const auto write = [caller = served->caller, delay, parts = std::move(parts)]() -> asio::awaitable<void> {
        for (const std::string &part : parts) {
            co_await net::sleepFor(delay);
            caller->write(part);
        }
    };
    asio::co_spawn(m_executor, write, asio::detached);
}

std::string application_server::drawStatusOutsideHttp()
{
    const std::int64_t last = static_cast<std::int64_t>(statusesOutsideHttp.size()) - 1;
    return std::string(statusesOutsideHttp[static_cast<std::size_t>(m_random.between(0, last))]) + " None";
}

answer_form application_server::drawForm()
{
    if (m_options.forms.empty() || !m_random.chance(m_options.faultyShare)) {
        return answer_form::proper;
    }
    const std::int64_t last = static_cast<std::int64_t>(m_options.forms.size()) - 1;
    const answer_form form = m_options.forms[static_cast<std::size_t>(m_random.between(0, last))];
    m_observer.onFaultyAnswer(form);
    return form;
}

} // namespace chervilbend::fakes
