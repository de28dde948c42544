#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/prompt_part_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>

using namespace chervilbend;
using namespace chervilbend::routing;

namespace
{

constexpr std::uint64_t systemPart = 1;
constexpr std::uint64_t soundPart = 2;
constexpr std::uint64_t crashingPart = 3;
constexpr std::uint64_t rarePart = 4;
constexpr std::uint64_t service = 1'000;
constexpr lost_attempt begunAttempt{service, true};
constexpr base::milliseconds betweenCrashes{400};

/// Passes everything that one node knows to another, and the response back.
void exchange(prompt_part_tracker &from, prompt_part_tracker &to)
{
    const prompt_evidence news = from.takeNews();
    to.merge(news);
    from.merge(to.responseTo(news));
}

} // namespace

/// Guards against a prompt part that crashes one endpoint after another, and against refusing parts that only shared a request with it.
class prompt_part_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_part_tracker_test);
    CPPUNIT_TEST(partIsRefusedAfterLossesOfDifferentEndpoints);
    CPPUNIT_TEST(lossesOfOneEndpointCountOnce);
    CPPUNIT_TEST(answeredPartIsNeverSuspected);
    CPPUNIT_TEST(answerClearsASuspicion);
    CPPUNIT_TEST(oneNodeAtATimeMayTryARefusedPart);
    CPPUNIT_TEST(certainCauseGetsNoTrial);
    CPPUNIT_TEST(lossesOfSeveralNodesAddUp);
    CPPUNIT_TEST(answerOnAnotherNodeClearsASuspicion);
    CPPUNIT_TEST(repeatedMessagesChangeNothing);
    CPPUNIT_TEST(newNodeLearnsWhatIsRefused);
    CPPUNIT_TEST(answeredRequestIsNotRefused);
    CPPUNIT_TEST(partThatBecomesFatalIsFound);
    CPPUNIT_TEST(partThatBecomesFatalIsFoundByAllNodes);
    CPPUNIT_TEST(answersThatContinueKeepAPartClear);
    CPPUNIT_TEST(memoryAndMessagesAreBounded);
    CPPUNIT_TEST(refusedPartOutlivesAFloodOfLosses);
    CPPUNIT_TEST(beginningOfAnAnswerIsNoProof);
    CPPUNIT_TEST(earlyAnswerIsNoProof);
    CPPUNIT_TEST(lastingAnswerClearsASuspicionOnAllNodes);
    CPPUNIT_TEST(clearedLossesDoNotComeBack);
    CPPUNIT_TEST(endpointsLostAtOneMomentAreNoProof);
    CPPUNIT_TEST(lossesOfAServiceThatAnswersNothingAreNoProof);
    CPPUNIT_TEST(lossesThatAnotherPartExplainsDoNotCount);
    CPPUNIT_TEST(partThatHasBeenAnsweredGetsATrial);
    CPPUNIT_TEST(nodesOfEarlierVersionsAreUnderstood);
    CPPUNIT_TEST(lossesOfAnsweredPartsAreKeptFromEarlierVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    void partIsRefusedAfterLossesOfDifferentEndpoints()
    {
        prompt_part_tracker tracker;
        tracker.recordAnswer({systemPart, soundPart});
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesToRefuse; ++process) {
            CPPUNIT_ASSERT(!tracker.refusedPart({systemPart, crashingPart}));
            tracker.recordLoss({systemPart, crashingPart}, process);
        }
        CPPUNIT_ASSERT_EQUAL(crashingPart, tracker.refusedPart({systemPart, crashingPart}).value_or(0));
        CPPUNIT_ASSERT(!tracker.refusedPart({systemPart, soundPart}));
    }

    void lossesOfOneEndpointCountOnce()
    {
        prompt_part_tracker tracker;
        for (int i = 0; i < 20; ++i) {
            tracker.recordLoss({crashingPart}, 7);
        }
        CPPUNIT_ASSERT(!tracker.refusedPart({crashingPart}));
    }

    void answeredPartIsNeverSuspected()
    {
        prompt_part_tracker tracker;
        tracker.recordAnswer({soundPart});
        addLosses(tracker, soundPart, 1, 10);
        CPPUNIT_ASSERT(!tracker.refusedPart({soundPart}));
        CPPUNIT_ASSERT(tracker.takeNews().losses.empty());
    }

    void answerClearsASuspicion()
    {
        prompt_part_tracker tracker;
        addLosses(tracker, soundPart, 1, prompt_part_tracker::lossesForCertainty);
        CPPUNIT_ASSERT(tracker.refusedPart({soundPart}));
        tracker.recordAnswer({soundPart});
        CPPUNIT_ASSERT(!tracker.refusedPart({soundPart}));
    }

    /// Guards against a sound part that stays refused because its first requests met failing endpoints.
    void oneNodeAtATimeMayTryARefusedPart()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        std::vector<prompt_part_tracker> nodes(8);
        addLosses(hub, soundPart, 1, prompt_part_tracker::lossesToRefuse);
        const auto trialsOfRound = [&] {
            int trials = 0;
            for (prompt_part_tracker &node : nodes) {
                exchange(node, hub);
                for (int i = 0; i < 5; ++i) {
                    trials += node.takeTrial(soundPart) ? 1 : 0;
                }
            }
            return trials;
        };
        CPPUNIT_ASSERT_EQUAL(0, trialsOfRound());
        CPPUNIT_ASSERT_EQUAL(0, trialsOfRound());
        clock.advance(base::milliseconds(11'000));
        CPPUNIT_ASSERT_EQUAL(1, trialsOfRound());
        CPPUNIT_ASSERT_EQUAL(0, trialsOfRound());
        nodes.front().recordAnswer({soundPart});
        trialsOfRound();
        trialsOfRound();
        CPPUNIT_ASSERT(!nodes.back().refusedPart({soundPart}));
    }

    void certainCauseGetsNoTrial()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        prompt_part_tracker node;
        addLosses(hub, crashingPart, 1, prompt_part_tracker::lossesForCertainty);
        for (int minute = 0; minute < 10; ++minute) {
            exchange(node, hub);
            CPPUNIT_ASSERT(node.refusedPart({crashingPart}));
            CPPUNIT_ASSERT(!node.takeTrial(crashingPart));
            clock.advance(base::milliseconds(60'000));
        }
    }

    /// Guards against a part that crashes one endpoint per node before any node has it refused.
    void lossesOfSeveralNodesAddUp()
    {
        prompt_part_tracker hub;
        std::vector<prompt_part_tracker> nodes(prompt_part_tracker::lossesToRefuse);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].recordLoss({systemPart, crashingPart}, i + 1);
        }
        for (prompt_part_tracker &node : nodes) {
            exchange(node, hub);
        }
        for (prompt_part_tracker &node : nodes) {
            exchange(node, hub);
            CPPUNIT_ASSERT(node.refusedPart({crashingPart}));
        }
    }

    /// Guards against refusing sound requests after endpoints were lost for another reason, on nodes that have not seen the part answered.
    void answerOnAnotherNodeClearsASuspicion()
    {
        prompt_part_tracker hub;
        prompt_part_tracker first;
        prompt_part_tracker second;
        second.recordAnswer({soundPart});
        addLosses(first, soundPart, 1, prompt_part_tracker::lossesForCertainty);
        exchange(first, hub);
        CPPUNIT_ASSERT(first.refusedPart({soundPart}));
        exchange(second, hub);
        CPPUNIT_ASSERT(!second.refusedPart({soundPart}));
        exchange(first, hub);
        CPPUNIT_ASSERT(!first.refusedPart({soundPart}));
        CPPUNIT_ASSERT(!hub.refusedPart({soundPart}));
    }

    void repeatedMessagesChangeNothing()
    {
        prompt_part_tracker hub;
        prompt_part_tracker node;
        addLosses(node, crashingPart, 1, 2);
        const prompt_evidence news = node.takeNews();
        for (int i = 0; i < 10; ++i) {
            hub.merge(news);
        }
        CPPUNIT_ASSERT(!hub.refusedPart({crashingPart}));
    }

    void newNodeLearnsWhatIsRefused()
    {
        prompt_part_tracker hub;
        addLosses(hub, crashingPart, 1, prompt_part_tracker::lossesForCertainty);
        prompt_part_tracker started;
        exchange(started, hub);
        CPPUNIT_ASSERT(started.refusedPart({crashingPart}));
    }

    /// Guards against refusing a request that many callers send alike, such as a status query, after several endpoints were lost together.
    void answeredRequestIsNotRefused()
    {
        constexpr std::uint64_t query = 50;
        prompt_part_tracker hub;
        prompt_part_tracker first;
        prompt_part_tracker second;
        second.recordAnsweredRequest(query);
        CPPUNIT_ASSERT_MESSAGE("a request that came once is not announced", second.takeNews().answered.empty());
        second.recordAnsweredRequest(query);
        exchange(second, hub);
        addLosses(first, query, 1, prompt_part_tracker::lossesForCertainty);
        exchange(first, hub);
        CPPUNIT_ASSERT(!first.refusedPart({query}));
        CPPUNIT_ASSERT(!hub.refusedPart({query}));
    }

    /// Guards against an early answer that hides for ever that a part crashes endpoints since an upgrade of the engines.
    void partThatBecomesFatalIsFound()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        tracker.recordAnswer({crashingPart});
        clock.advance(base::milliseconds(61'000));
        addLosses(tracker, crashingPart, 1, prompt_part_tracker::lossesToRefuse);
        CPPUNIT_ASSERT(tracker.refusedPart({crashingPart}));
    }

    /// Guards against nodes that keep an old answer alive by telling each other of it.
    void partThatBecomesFatalIsFoundByAllNodes()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        std::vector<prompt_part_tracker> nodes(3);
        nodes.front().recordAnswer({crashingPart});
        constexpr int seconds = 90;
        constexpr int secondsPerNode = 20;
        for (int second = 0; second < seconds; ++second) {
            nodes[static_cast<std::size_t>(second / secondsPerNode) % nodes.size()].recordLoss({crashingPart}, static_cast<std::uint64_t>(second) + 1);
            for (prompt_part_tracker &node : nodes) {
                exchange(node, hub);
            }
            clock.advance(base::milliseconds(1'000));
        }
        for (const prompt_part_tracker &node : nodes) {
            CPPUNIT_ASSERT(node.refusedPart({crashingPart}));
        }
    }

    /// Guards against a sound part that is suspected since its answers were announced once, long ago.
    void answersThatContinueKeepAPartClear()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        prompt_part_tracker node;
        for (int second = 0; second < 200; ++second) {
            node.recordAnswer({soundPart});
            exchange(node, hub);
            clock.advance(base::milliseconds(1'000));
        }
        addLosses(hub, soundPart, 1, prompt_part_tracker::lossesForCertainty);
        CPPUNIT_ASSERT(!hub.refusedPart({soundPart}));
    }

    void memoryAndMessagesAreBounded()
    {
        prompt_part_tracker tracker;
        constexpr std::uint64_t many = 20'000;
        for (std::uint64_t part = 10; part < many; ++part) {
            tracker.recordAnswer({part});
        }
        for (std::uint64_t part = many; part < 2 * many; ++part) {
            tracker.recordLoss({part}, part);
        }
        const prompt_evidence news = tracker.takeNews();
        constexpr std::size_t maxPartsPerMessage = 150;
        CPPUNIT_ASSERT(news.answered.size() + news.losses.size() <= maxPartsPerMessage);
        addLosses(tracker, crashingPart, 1, prompt_part_tracker::lossesToRefuse);
        CPPUNIT_ASSERT_MESSAGE("a part that is refused is always announced", tracker.takeNews().losses.contains(crashingPart));
    }

    /// Guards against a crash of many endpoints that displaces what is known of the crashing part.
    void refusedPartOutlivesAFloodOfLosses()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        addLosses(tracker, crashingPart, 1, prompt_part_tracker::lossesToRefuse);
        for (std::uint64_t part = 1'000; part < 3'000; ++part) {
            clock.advance(base::milliseconds(part % 3 == 0 ? 1 : 0));
            tracker.recordLoss({part}, part);
        }
        CPPUNIT_ASSERT(tracker.refusedPart({crashingPart}));
        CPPUNIT_ASSERT(tracker.takeNews().losses.contains(crashingPart));
    }

    /// Guards against a part that crashes each endpoint right after its first event, which every lost answer has had.
    void beginningOfAnAnswerIsNoProof()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesToRefuse; ++process) {
            CPPUNIT_ASSERT(!tracker.refusedPart({crashingPart}));
            crashAfterFirstEvent(tracker, clock, {systemPart, crashingPart}, process);
        }
        CPPUNIT_ASSERT_EQUAL(crashingPart, tracker.refusedPart({systemPart, crashingPart}).value_or(0));
        CPPUNIT_ASSERT(!tracker.refusedPart({systemPart, soundPart}));
    }

    /// Guards against a part that becomes fatal shortly after answers on it have come to their end.
    void earlyAnswerIsNoProof()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        for (int i = 0; i < 20; ++i) {
            tracker.recordAnswer({systemPart, crashingPart});
            tracker.recordLastingAnswer({systemPart, crashingPart}, service);
            clock.advance(base::milliseconds(100));
        }
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesToRefuse; ++process) {
            CPPUNIT_ASSERT(!tracker.refusedPart({crashingPart}));
            tracker.recordLoss({systemPart, crashingPart}, process, {service, false});
            answerOthers(tracker, clock);
        }
        CPPUNIT_ASSERT_EQUAL(crashingPart, tracker.refusedPart({systemPart, crashingPart}).value_or(0));
    }

    /// Guards against a sound part that stays refused, since its answers were seen by another node than its losses.
    void lastingAnswerClearsASuspicionOnAllNodes()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        prompt_part_tracker first;
        prompt_part_tracker second;
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesForCertainty; ++process) {
            crashAfterFirstEvent(first, clock, {soundPart}, process);
        }
        exchange(first, hub);
        exchange(second, hub);
        CPPUNIT_ASSERT(first.refusedPart({soundPart}) && second.refusedPart({soundPart}) && hub.refusedPart({soundPart}));
        clock.advance(base::milliseconds(10));
        second.recordLastingAnswer({soundPart}, service);
        exchange(second, hub);
        exchange(first, hub);
        CPPUNIT_ASSERT(!first.refusedPart({soundPart}) && !second.refusedPart({soundPart}) && !hub.refusedPart({soundPart}));
    }

    /// Guards against losses that count again when a node that has not heard of the later answer passes them on.
    void clearedLossesDoNotComeBack()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        prompt_part_tracker node;
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesToRefuse; ++process) {
            crashAfterFirstEvent(node, clock, {soundPart}, process);
        }
        const prompt_evidence late = node.takeNews();
        clock.advance(base::milliseconds(10));
        hub.recordLastingAnswer({soundPart}, service);
        // The message says how long ago the losses were when it was sent.
        hub.merge(late);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hub.refusedParts());
        exchange(node, hub);
        exchange(node, hub);
        CPPUNIT_ASSERT(!node.refusedPart({soundPart}));
        CPPUNIT_ASSERT(node.takeNews().lost.empty());
    }

    /// Guards against refusing the first part of all prompts when several machines with endpoints fail together.
    void endpointsLostAtOneMomentAreNoProof()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        tracker.recordAnswer({systemPart});
        for (std::uint64_t process = 1; process <= 20; ++process) {
            tracker.recordLoss({systemPart}, process, begunAttempt);
            clock.advance(base::milliseconds(5));
        }
        tracker.recordLastingAnswer({soundPart}, service);
        tracker.recordLoss({systemPart}, 21, begunAttempt);
        CPPUNIT_ASSERT(!tracker.refusedPart({systemPart}));
    }

    /// Guards against refusing all parts, one after the other, while a service fails for another reason.
    void lossesOfAServiceThatAnswersNothingAreNoProof()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        for (std::uint64_t process = 1; process <= 10; ++process) {
            tracker.recordAnswer({systemPart, soundPart});
            tracker.recordLoss({systemPart, soundPart}, process, begunAttempt);
            clock.advance(betweenCrashes);
            tracker.recordLastingAnswer({rarePart}, service + 1);
        }
        tracker.recordLastingAnswer({rarePart}, service);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tracker.refusedParts());
    }

    /// Guards against refusing parts whose few requests were lost with those of the crashing part.
    void lossesThatAnotherPartExplainsDoNotCount()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        constexpr std::uint64_t crashes = 8;
        for (std::uint64_t process = 1; process <= crashes; ++process) {
            if (process % 2 == 0) {
                tracker.recordAnswer({rarePart});
                tracker.recordLoss({rarePart}, process, begunAttempt);
            }
            crashAfterFirstEvent(tracker, clock, {crashingPart}, process);
            CPPUNIT_ASSERT(!tracker.refusedPart({rarePart}));
        }
        CPPUNIT_ASSERT(tracker.refusedPart({crashingPart}));
    }

    /// Guards against a sound part that is refused for an hour because endpoints were lost on it by chance.
    void partThatHasBeenAnsweredGetsATrial()
    {
        base::manual_time_source clock;
        prompt_part_tracker hub;
        prompt_part_tracker node;
        for (std::uint64_t moment = 0; moment < prompt_part_tracker::lossesToRefuse; ++moment) {
            node.recordLoss({crashingPart}, 100 + moment, begunAttempt);
            crashAfterFirstEvent(node, clock, {crashingPart}, moment);
        }
        const auto trialsWithin = [&](int seconds) {
            int trials = 0;
            for (int second = 0; second < seconds; ++second) {
                clock.advance(base::milliseconds(1'000));
                exchange(node, hub);
                trials += node.refusedPart({crashingPart}) && node.takeTrial(crashingPart) ? 1 : 0;
            }
            return trials;
        };
        CPPUNIT_ASSERT_EQUAL(1, trialsWithin(15));
        node.recordLoss({crashingPart}, 200, begunAttempt);
        CPPUNIT_ASSERT_EQUAL(0, trialsWithin(600));
    }

    void nodesOfEarlierVersionsAreUnderstood()
    {
        prompt_part_tracker hub;
        prompt_evidence earlier;
        earlier.losses[crashingPart] = {1, 2, 3};
        earlier.losses[soundPart] = {1, 2, 3};
        earlier.answered[soundPart] = base::milliseconds(100);
        hub.merge(earlier);
        hub.merge(earlier);
        CPPUNIT_ASSERT(hub.refusedPart({crashingPart}));
        CPPUNIT_ASSERT(!hub.refusedPart({soundPart}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), hub.responseTo(earlier).losses.at(crashingPart).size());
    }

    /// Guards against a node of an earlier version that refuses a part by the losses that only this version can weigh.
    void lossesOfAnsweredPartsAreKeptFromEarlierVersions()
    {
        base::manual_time_source clock;
        prompt_part_tracker tracker;
        for (std::uint64_t process = 1; process <= prompt_part_tracker::lossesToRefuse; ++process) {
            crashAfterFirstEvent(tracker, clock, {crashingPart}, process);
        }
        const prompt_evidence news = tracker.takeNews();
        CPPUNIT_ASSERT(news.losses.empty());
        CPPUNIT_ASSERT_EQUAL(prompt_part_tracker::lossesToRefuse, news.lost.at(crashingPart).processes.size());
    }

private:
    /// An endpoint ends after the first event of its answer, while other endpoints of the service go on answering requests without the part.
    static void
        crashAfterFirstEvent(prompt_part_tracker &tracker, base::manual_time_source &clock, const std::vector<std::uint64_t> &parts, std::uint64_t process)
    {
        tracker.recordAnswer(parts);
        tracker.recordLoss(parts, process, begunAttempt);
        answerOthers(tracker, clock);
    }

    static void answerOthers(prompt_part_tracker &tracker, base::manual_time_source &clock)
    {
        clock.advance(betweenCrashes / 2);
        tracker.recordAnswer({systemPart, soundPart + 100});
        tracker.recordLastingAnswer({systemPart, soundPart + 100}, service);
        clock.advance(betweenCrashes / 2);
    }

    static void addLosses(prompt_part_tracker &tracker, std::uint64_t part, std::uint64_t firstProcess, std::size_t count)
    {
        for (std::uint64_t process = firstProcess; process < firstProcess + count; ++process) {
            tracker.recordLoss({part}, process);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_part_tracker_test);
