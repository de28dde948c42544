#include <chervilbend/load/history_json.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace chervilbend::load
{

namespace
{

std::string stringField(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_string() ? std::string(found->get_string().data(), found->get_string().size()) : std::string();
}

std::int64_t integerField(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_int64() ? found->get_int64() : 0;
}

bool boolField(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_bool() && found->get_bool();
}

std::map<std::string, std::int64_t> countsField(const json::object &line, const char *name)
{
    std::map<std::string, std::int64_t> counts;
    const json::value *const found = line.if_contains(name);
    if (found && found->is_object()) {
        for (const auto &[key, value] : found->get_object()) {
            counts[std::string(key)] = value.is_int64() ? value.get_int64() : 0;
        }
    }
    return counts;
}

json::object toJson(const std::map<std::string, std::int64_t> &counts)
{
    json::object object;
    for (const auto &[key, value] : counts) {
        object[key] = value;
    }
    return object;
}

attempt parseAttempt(const json::object &line)
{
    attempt entry;
    entry.kind = stringField(line, "kind");
    entry.request = stringField(line, "request");
    entry.number = static_cast<int>(integerField(line, "number"));
    entry.node = stringField(line, "node");
    entry.subject = stringField(line, "subject");
    entry.sentMs = integerField(line, "sentMs");
    entry.endMs = integerField(line, "endMs");
    entry.status = static_cast<int>(integerField(line, "status"));
    entry.runState = stringField(line, "run");
    entry.connectionRefused = boolField(line, "refused");
    entry.timedOut = boolField(line, "timedOut");
    entry.isComplete = boolField(line, "whole");
    entry.matchesRequest = boolField(line, "own");
    entry.failureReported = boolField(line, "reported");
    entry.retryAfter = boolField(line, "retryAfter");
    entry.givenUp = boolField(line, "givenUp");
    entry.detail = stringField(line, "detail");
    return entry;
}

event parseEvent(const json::object &line)
{
    event entry;
    entry.atMs = integerField(line, "atMs");
    entry.type = stringField(line, "what");
    entry.subject = stringField(line, "who");
    entry.callerAddress = stringField(line, "callers");
    entry.peerAddress = stringField(line, "peers");
    entry.version = integerField(line, "version");
    entry.baseVersion = integerField(line, "base");
    return entry;
}

void addRuns(const json::object &line, run_history &history)
{
    history.hasRuns = true;
    for (const auto &[key, count] : countsField(line, "runs")) {
        history.runs[key] += count;
    }
}

bool addLine(const json::object &line, run_history &history)
{
    const std::string type = stringField(line, "type");
    if (type == "attempt") {
        history.attempts.push_back(parseAttempt(line));
    } else if (type == "memory") {
        history.memory.push_back({stringField(line, "endpoint"), integerField(line, "atMs"), integerField(line, "highest"), integerField(line, "capacity")});
    } else if (type == "work") {
        history.requestCounts.push_back({stringField(line, "endpoint"), integerField(line, "atMs"), integerField(line, "taken")});
    } else if (type == "versions") {
        history.versions.push_back({stringField(line, "node"), integerField(line, "atMs"), integerField(line, "askedMs"), countsField(line, "services")});
    } else if (type == "event") {
        history.events.push_back(parseEvent(line));
    } else if (type == "runs") {
        addRuns(line, history);
    } else {
        return false;
    }
    return true;
}

} // namespace

std::string toLine(const attempt &entry)
{
    json::object line{{"type", "attempt"},
                      {"kind", entry.kind},
                      {"request", entry.request},
                      {"number", entry.number},
                      {"node", entry.node},
                      {"subject", entry.subject},
                      {"sentMs", entry.sentMs},
                      {"endMs", entry.endMs},
                      {"status", entry.status},
                      {"run", entry.runState},
                      {"refused", entry.connectionRefused},
                      {"timedOut", entry.timedOut},
                      {"whole", entry.isComplete},
                      {"own", entry.matchesRequest},
                      {"reported", entry.failureReported},
                      {"retryAfter", entry.retryAfter},
                      {"givenUp", entry.givenUp},
                      {"detail", entry.detail}};
    return json::serialize(line);
}

std::string toLine(const memory_sample &entry)
{
    json::object line{
        {"type", "memory"}, {"endpoint", entry.endpoint}, {"atMs", entry.atMs}, {"highest", entry.highestBytes}, {"capacity", entry.capacityBytes}};
    return json::serialize(line);
}

std::string toLine(const request_count_sample &entry)
{
    json::object line{{"type", "work"}, {"endpoint", entry.endpoint}, {"atMs", entry.atMs}, {"taken", entry.requests}};
    return json::serialize(line);
}

std::string toLine(const version_sample &entry)
{
    json::object line{{"type", "versions"}, {"node", entry.node}, {"atMs", entry.atMs}, {"askedMs", entry.requestedMs}};
    line["services"] = toJson(entry.services);
    return json::serialize(line);
}

std::string toRunsLine(const std::map<std::string, std::int64_t> &runs)
{
    json::object line{{"type", "runs"}};
    line["runs"] = toJson(runs);
    return json::serialize(line);
}

void readLines(std::istream &input, run_history &history)
{
    for (std::string text; std::getline(input, text);) {
        json::error_code error;
        const json::value line = json::parse(text, error);
        if (error || !line.is_object() || !addLine(line.get_object(), history)) {
            ++history.unreadableLines;
        }
    }
}

} // namespace chervilbend::load
