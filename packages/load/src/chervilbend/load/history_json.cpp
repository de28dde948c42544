#include <chervilbend/load/history_json.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace chervilbend::load
{

namespace
{

std::string textOf(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_string() ? std::string(found->get_string().data(), found->get_string().size()) : std::string();
}

std::int64_t numberOf(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_int64() ? found->get_int64() : 0;
}

bool flagOf(const json::object &line, const char *name)
{
    const json::value *const found = line.if_contains(name);
    return found && found->is_bool() && found->get_bool();
}

std::map<std::string, std::int64_t> countsOf(const json::object &line, const char *name)
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

json::object objectOf(const std::map<std::string, std::int64_t> &counts)
{
    json::object object;
    for (const auto &[key, value] : counts) {
        object[key] = value;
    }
    return object;
}

attempt attemptOf(const json::object &line)
{
    attempt entry;
    entry.kind = textOf(line, "kind");
    entry.request = textOf(line, "request");
    entry.number = static_cast<int>(numberOf(line, "number"));
    entry.node = textOf(line, "node");
    entry.subject = textOf(line, "subject");
    entry.sentMs = numberOf(line, "sentMs");
    entry.endMs = numberOf(line, "endMs");
    entry.status = static_cast<int>(numberOf(line, "status"));
    entry.run = textOf(line, "run");
    entry.refused = flagOf(line, "refused");
    entry.timedOut = flagOf(line, "timedOut");
    entry.whole = flagOf(line, "whole");
    entry.own = flagOf(line, "own");
    entry.reported = flagOf(line, "reported");
    entry.retryAfter = flagOf(line, "retryAfter");
    entry.givenUp = flagOf(line, "givenUp");
    entry.detail = textOf(line, "detail");
    return entry;
}

event eventOf(const json::object &line)
{
    event entry;
    entry.atMs = numberOf(line, "atMs");
    entry.what = textOf(line, "what");
    entry.who = textOf(line, "who");
    entry.callers = textOf(line, "callers");
    entry.peers = textOf(line, "peers");
    entry.version = numberOf(line, "version");
    entry.base = numberOf(line, "base");
    return entry;
}

void addRuns(const json::object &line, run_history &history)
{
    history.hasRuns = true;
    for (const auto &[key, count] : countsOf(line, "runs")) {
        history.runs[key] += count;
    }
}

bool readLine(const json::object &line, run_history &history)
{
    const std::string type = textOf(line, "type");
    if (type == "attempt") {
        history.attempts.push_back(attemptOf(line));
    } else if (type == "memory") {
        history.memory.push_back({textOf(line, "endpoint"), numberOf(line, "atMs"), numberOf(line, "highest"), numberOf(line, "capacity")});
    } else if (type == "work") {
        history.work.push_back({textOf(line, "endpoint"), numberOf(line, "atMs"), numberOf(line, "taken")});
    } else if (type == "versions") {
        history.versions.push_back({textOf(line, "node"), numberOf(line, "atMs"), numberOf(line, "askedMs"), countsOf(line, "services")});
    } else if (type == "event") {
        history.events.push_back(eventOf(line));
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
                      {"run", entry.run},
                      {"refused", entry.refused},
                      {"timedOut", entry.timedOut},
                      {"whole", entry.whole},
                      {"own", entry.own},
                      {"reported", entry.reported},
                      {"retryAfter", entry.retryAfter},
                      {"givenUp", entry.givenUp},
                      {"detail", entry.detail}};
    return json::serialize(line);
}

std::string toLine(const memory_sample &entry)
{
    json::object line{{"type", "memory"}, {"endpoint", entry.endpoint}, {"atMs", entry.atMs}, {"highest", entry.highest}, {"capacity", entry.capacity}};
    return json::serialize(line);
}

std::string toLine(const work_sample &entry)
{
    json::object line{{"type", "work"}, {"endpoint", entry.endpoint}, {"atMs", entry.atMs}, {"taken", entry.taken}};
    return json::serialize(line);
}

std::string toLine(const version_sample &entry)
{
    json::object line{{"type", "versions"}, {"node", entry.node}, {"atMs", entry.atMs}, {"askedMs", entry.askedMs}};
    line["services"] = objectOf(entry.services);
    return json::serialize(line);
}

std::string toRunsLine(const std::map<std::string, std::int64_t> &runs)
{
    json::object line{{"type", "runs"}};
    line["runs"] = objectOf(runs);
    return json::serialize(line);
}

void readLines(std::istream &input, run_history &history)
{
    for (std::string text; std::getline(input, text);) {
        json::error_code error;
        const json::value line = json::parse(text, error);
        if (error || !line.is_object() || !readLine(line.get_object(), history)) {
            ++history.unreadableLines;
        }
    }
}

} // namespace chervilbend::load
