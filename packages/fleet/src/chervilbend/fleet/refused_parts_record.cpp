#include <chervilbend/fleet/refused_parts_record.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/prompt_evidence_json.hpp>
#include <chervilbend/fleet/refused_parts_store.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/routing/prompt_part_tracker.hpp>

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// The record is of use at the next start of all nodes only, so a store that fails is not called more often.
constexpr base::milliseconds retryInterval{5'000};

const log4cxx::LoggerPtr &placeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("place");
    return logger;
}

std::string textOf(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

/// No evidence if the record is empty or can't be decoded: a later version may write another form.
routing::prompt_evidence decode(const std::string &record)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::optional<routing::prompt_evidence> evidence;
    try {
        Json::Value json;
        const bool isParsed = reader->parse(record.data(), record.data() + record.size(), &json, nullptr);
        evidence = isParsed ? readPromptEvidence(json) : std::nullopt;
    } catch (const Json::Exception &) {
        // The parser throws when the record is nested too deeply.
    }
    return evidence ? std::move(*evidence) : routing::prompt_evidence{};
}

} // namespace

refused_parts_record::refused_parts_record(refused_parts_store &store, routing::prompt_part_tracker &prompts, const command_lease &lease)
    : m_store(store)
    , m_prompts(prompts)
    , m_lease(lease)
{
}

asio::awaitable<void> refused_parts_record::run()
{
    while (!m_recorded) {
        co_await read();
    }
    while (true) {
        co_await net::sleepFor(checkInterval);
        if (!m_lease.isHolder()) {
            // Another holder may write the record.
            m_recorded.reset();
        } else if (!m_recorded) {
            co_await read();
        } else {
            co_await update();
        }
    }
}

asio::awaitable<void> refused_parts_record::read()
{
    const std::optional<std::string> record = co_await m_store.read();
    if (!record) {
        co_await net::sleepFor(retryInterval);
        co_return;
    }
    // Only the losses: whatever else the record has was of use at its time alone.
    routing::prompt_evidence evidence;
    evidence.lost = decode(*record).lost;
    m_recorded = processesOf(evidence);
    m_writtenAt = base::clock::now();
    if (!evidence.lost.empty()) {
        m_prompts.merge(evidence);
        LOG4CXX_INFO(placeLog(), base::log_event("refusedPartsRead").with("parts", evidence.lost.size()).text());
    }
}

asio::awaitable<void> refused_parts_record::update()
{
    const routing::prompt_evidence evidence = m_prompts.refusedEvidence();
    lost_processes current = processesOf(evidence);
    const bool isRenewalDue = !current.empty() && base::clock::now() - m_writtenAt >= renewalInterval;
    if (current == *m_recorded && !isRenewalDue) {
        co_return;
    }
    const bool isWritten = co_await m_store.write(textOf(toJson(evidence)));
    if (isWritten) {
        m_recorded = std::move(current);
        m_writtenAt = base::clock::now();
    } else {
        co_await net::sleepFor(retryInterval);
    }
}

refused_parts_record::lost_processes refused_parts_record::processesOf(const routing::prompt_evidence &evidence)
{
    lost_processes result;
    for (const auto &[part, lost] : evidence.lost) {
        for (const auto &[process, age] : lost.processes) {
            result[part].insert(process);
        }
    }
    return result;
}

} // namespace chervilbend::fleet
