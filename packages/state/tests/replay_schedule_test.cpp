#include "random_records.hpp"

#include <chervilbend/state/checkpoint_assembler.hpp>
#include <chervilbend/state/checkpoint_writer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace chervilbend;
using namespace chervilbend::state;

/// Guards against state that diverges between nodes, checkpoints that lose state, and overcommitted memory. Uses random schedules of
/// concurrent planners, owners, publishers and claiming nodes; each schedule is determined by its seed.
class replay_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replay_schedule_test);
    CPPUNIT_TEST(replayIsDeterministic);
    CPPUNIT_TEST(restoredCheckpointMatchesFullReplay);
    CPPUNIT_TEST(memoryIsNeverOvercommitted);
    CPPUNIT_TEST(schedulesReachAllStates);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t schedules = 60;
    static constexpr int recordsPerSchedule = 400;

    static std::vector<std::string> schedule(std::uint64_t seed)
    {
        random_records source(seed);
        replicated_state current;
        std::vector<std::string> records;
        for (int i = 1; i <= recordsPerSchedule; ++i) {
            records.push_back(source.next(current));
            current.apply(base::log_offset(i), records.back());
        }
        return records;
    }

    static void applyAll(replicated_state &target, const std::vector<std::string> &records)
    {
        for (std::size_t i = 0; i < records.size(); ++i) {
            target.apply(base::log_offset(static_cast<std::int64_t>(i) + 1), records[i]);
        }
    }

public:
    void replayIsDeterministic()
    {
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            const std::vector<std::string> records = schedule(seed);
            replicated_state left;
            replicated_state right;
            applyAll(left, records);
            applyAll(right, records);
            applyAll(right, records);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), left.dump(), right.dump());
        }
    }

    void restoredCheckpointMatchesFullReplay()
    {
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            const std::vector<std::string> records = schedule(seed);
            replicated_state full;
            applyAll(full, records);
            replicated_state prefix;
            const auto cut = static_cast<std::size_t>(random_records(seed + 1000).randomBelow(recordsPerSchedule - 1) + 1);
            applyAll(prefix, {records.begin(), records.begin() + static_cast<std::ptrdiff_t>(cut)});
            checkpoint_assembler assembler("control");
            for (const std::string &record : checkpointRecords("control", prefix.appliedOffset(), prefix.dump(), "c1")) {
                CPPUNIT_ASSERT(record.size() <= maxCheckpointRecordBytes);
                assembler.add(record);
            }
            CPPUNIT_ASSERT(assembler.newest());
            replicated_state restored;
            CPPUNIT_ASSERT(restored.restore(assembler.newest()->dump));
            applyAll(restored, records);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), full.dump(), restored.dump());
        }
    }

    void memoryIsNeverOvercommitted()
    {
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            replicated_state current;
            std::int64_t offset = 0;
            for (const std::string &record : schedule(seed)) {
                current.apply(base::log_offset(++offset), record);
                for (const auto &[id, endpoint] : current.endpoints()) {
                    base::byte_count sum;
                    for (const auto &[itemId, item] : endpoint.items) {
                        sum += item.bytes;
                    }
                    CPPUNIT_ASSERT_EQUAL(sum, endpoint.reserved);
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " offset " + std::to_string(offset), sum <= endpoint.memory);
                }
            }
        }
    }

    /// Ensures that the generated schedules reach the relevant states; otherwise the other tests would pass vacuously.
    void schedulesReachAllStates()
    {
        std::size_t loaded = 0;
        std::size_t quarantined = 0;
        std::size_t claims = 0;
        std::size_t services = 0;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            replicated_state current;
            std::int64_t offset = 0;
            for (const std::string &record : schedule(seed)) {
                current.apply(base::log_offset(++offset), record);
                quarantined += current.quarantined().size();
                claims += current.claimCount();
                services += current.services().size();
                for (const auto &[id, endpoint] : current.endpoints()) {
                    loaded += static_cast<std::size_t>(
                        std::count_if(endpoint.items.begin(), endpoint.items.end(), [](const auto &item) { return item.second.state == residency::loaded; }));
                }
            }
        }
        CPPUNIT_ASSERT(loaded > 1000 && quarantined > 1000 && claims > 1000 && services > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replay_schedule_test);
