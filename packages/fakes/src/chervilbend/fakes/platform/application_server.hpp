#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/platform/answer_form.hpp>
#include <chervilbend/fakes/platform/event_feed.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::fakes
{

class metadata_store;
class raw_connection;
class run_observer;
struct served_run;

struct application_server_options {
    std::string name;
    std::string service;
    /// Where it listens on 127.0.0.1, and the port that it registers, which may be that of a relay before it.
    std::uint16_t port = 0;
    std::uint16_t registeredPort = 0;
    int slots = 12;
    base::milliseconds shortestWork{5};
    base::milliseconds longestWork{60};
    /// Whether its feeds pause together now and then, as the streams of an engine do while it reads a long prompt.
    bool feedsPause = false;
    /// Share of the requests that are answered in one of the forms.
    double faultyShare = 0;
    std::vector<answer_form> forms;
};

/// Stand-in for a server of a plain service, which answers requests and streams of events as the platform's protocol says, and some of them in faulty forms.
///
/// A request whose target begins with "/streams/" is answered with some events, one that begins with "/feeds/" with many, which may be resumed.
class application_server
{
public:
    /// Of a stream that is no feed; they have the texts of event_feed, with the attempt in place of the target.
    static constexpr int eventsPerStream = 6;
    /// Status and reason of an answer in the form ranWithUnnamedStatus.
    static constexpr int unnamedStatus = 520;
    static constexpr std::string_view unnamedReason = "Origin Failed";
    /// Its body.
    static std::string unnamedBody(const std::string &attempt);

    /// The references must outlive the object, and the object the event loop.
    application_server(
        const boost::asio::any_io_executor &executor, metadata_store &store, run_observer &observer, application_server_options options, std::uint64_t seed);
    ~application_server();

    /// Starts under a new id, or under that of before.
    void start(bool keepsId = false);
    /// Resets all connections. The registration lapses.
    void crash();
    /// Stands still: neither reads nor writes, while the kernel still accepts connections.
    void stall(base::milliseconds duration);
    /// Refuses new connections.
    void stopAccepting();
    void resumeAccepting();
    /// Serves another service from its next start on.
    void setService(std::string service);

    bool isRunning() const
    {
        return m_life != nullptr;
    }

private:
    struct incarnation;
    struct served_connection;

    boost::asio::awaitable<void> accept(std::shared_ptr<incarnation> life);
    boost::asio::awaitable<void> keepRegistered(std::shared_ptr<incarnation> life);
    boost::asio::awaitable<void> serve(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller);
    /// Whether the connection stays open.
    boost::asio::awaitable<bool> answer(std::shared_ptr<incarnation> life, std::shared_ptr<served_connection> served);
    boost::asio::awaitable<bool> refuse(std::shared_ptr<served_connection> served, std::string attempt, answer_form form);
    boost::asio::awaitable<bool> run(std::shared_ptr<incarnation> life, std::shared_ptr<served_connection> served, answer_form form);
    boost::asio::awaitable<bool> writeAnswer(std::shared_ptr<served_connection> served, const served_run &run, std::string fields);
    boost::asio::awaitable<bool> writeFeed(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller, std::string fields);
    /// Waits for a slot. False if there is no room, or the caller has left.
    boost::asio::awaitable<bool> takeSlot(std::shared_ptr<incarnation> life, std::shared_ptr<raw_connection> caller, base::time_point deadline);
    boost::asio::awaitable<void> standStill();
    /// Writes the parts, each some milliseconds after the one before.
    void writeLater(const std::shared_ptr<served_connection> &served, std::vector<std::string> parts);
    answer_form drawForm();
    std::string drawStatusOutsideHttp();

    boost::asio::any_io_executor m_executor;
    metadata_store &m_store;
    run_observer &m_observer;
    application_server_options m_options;
    seeded_random m_random;
    std::shared_ptr<incarnation> m_life;
    int m_lives = 0;
    base::time_point m_stalledUntil = base::clock::now();
    event_feed m_feed;
};

} // namespace chervilbend::fakes
