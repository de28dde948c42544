#include <chervilbend/fakes/platform/answer_form.hpp>
#include <chervilbend/soak/fault_schedule.hpp>
#include <chervilbend/soak/soak_run.hpp>
#include <chervilbend/soak/store_contents.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

DEFINE_uint64(seed, 1, "Seed of the schedule and of all random choices");
DEFINE_int64(seconds, 60, "Duration of the traffic in seconds");
DEFINE_string(folder, "", "Where the supervisor of the nodes reads their settings and writes their process ids and ends");
DEFINE_uint64(nodes, 4, "Number of nodes, 1 to 80");
DEFINE_uint64(servers, 6, "Number of servers, 1 to 26");
DEFINE_uint64(callers, 48, "Number of callers");
DEFINE_uint64(feed_readers, 40, "Number of callers that read long streams besides");
DEFINE_uint64(first_port, 21'000, "Lowest port of 127.0.0.1 that is used");
DEFINE_double(faulty_share, 0.2, "Share of the requests that servers answer in a faulty form");
DEFINE_string(forms, "", "Names of the faulty forms of answers, separated by commas; empty for all");
DEFINE_bool(faults, true, "Whether processes and links fail besides the answers");
DEFINE_double(repeated_ids, 0.25, "Share of the repetitions of refused requests that bear the id of the refused attempt");
DEFINE_string(judged, "", "Only breaches of requests that met nodes with this program, now or next, count; empty for all");
DEFINE_string(only_fault, "", "Name of the only kind of fault that is played, such as starveNode; empty for all");
DEFINE_int32(attempts, 1, "Attempts that the routes of requests that may run once only allow");
DEFINE_int64(order_timeout_ms, 2'500, "Deadline of orders in milliseconds");
DEFINE_bool(accounts, true, "Whether the configuration has accounts with keys and quotas, which older builds don't know");
DEFINE_bool(odd_records, true, "Whether the store holds further records with odd keys and answers in the pages of the seed, which older builds don't get past");
DEFINE_bool(schedule, false, "Print the schedule and the form of the store that the seed gives, and end");

namespace
{

constexpr int rulesBroken = 1;
constexpr int cannotRun = 2;

} // namespace

/// Stands in for store, servers, links and callers of nodes that scripts/soak runs. Ends with 1 if a rule was broken, with 2 if it could not run.
int main(int argc, char **argv)
{
    using namespace chervilbend;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak::soak_options options;
    options.seed = FLAGS_seed;
    options.duration = base::milliseconds(FLAGS_seconds * 1'000);
    options.folder = FLAGS_folder;
    options.nodes = FLAGS_nodes;
    options.servers = FLAGS_servers;
    options.callers = FLAGS_callers;
    options.feedReaders = FLAGS_feed_readers;
    options.firstPort = static_cast<std::uint16_t>(FLAGS_first_port);
    options.faultyShare = FLAGS_faulty_share;
    options.forms = FLAGS_forms.empty() ? fakes::faultyForms() : fakes::parseForms(FLAGS_forms);
    options.hasFaults = FLAGS_faults;
    options.repeatedIdShare = FLAGS_repeated_ids;
    options.judgedProgram = FLAGS_judged;
    options.onlyFault = FLAGS_only_fault;
    options.attempts = FLAGS_attempts;
    options.hasAccounts = FLAGS_accounts;
    options.hasOddRecords = FLAGS_odd_records;
    options.orderTimeout = base::milliseconds(FLAGS_order_timeout_ms);
    if (options.nodes < 1 || options.nodes > 80 || options.servers < 1 || options.servers > 26 || options.seed < 1 || options.forms.empty()) {
        std::cerr << "chervilbend-soak: nodes must be 1 to 80, servers 1 to 26, the seed above 0, and forms known names\n";
        return cannotRun;
    }
    if (!options.onlyFault.empty() && !soak::faultNamed(options.onlyFault)) {
        std::cerr << "chervilbend-soak: no fault is named " << options.onlyFault << '\n';
        return cannotRun;
    }
    if (FLAGS_schedule) {
        std::cout << soak::describe(soak::scheduleFor(options));
        if (options.hasOddRecords) {
            const soak::store_contents contents(options.seed);
            std::cout << contents.describeForm();
            for (const soak::further_record &record : contents.initialRecords()) {
                std::cout << "  " << soak::describe(record) << '\n';
            }
        }
        return EXIT_SUCCESS;
    }
    try {
        soak::soak_run run(std::move(options));
        const soak::soak_run::verdict verdict = run.run();
        if (verdict == soak::soak_run::verdict::notPlayed) {
            return cannotRun;
        }
        return verdict == soak::soak_run::verdict::held ? EXIT_SUCCESS : rulesBroken;
    } catch (const std::exception &error) {
        std::cerr << "chervilbend-soak: " << error.what() << '\n';
        return cannotRun;
    }
}
