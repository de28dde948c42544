#pragma once

#include <string_view>
#include <vector>

namespace chervilbend::fakes
{

/// How a stand-in for a server answers a request.
enum class answer_form {
    /// Runs the request and answers as the protocol says.
    proper,
    /// Refuses it as the protocol says.
    refused,
    /// Refuses it and closes the connection.
    refusedAndClosed,
    /// Writes the refusal a second time, at once.
    refusedTwice,
    /// Writes the refusal a second time, some milliseconds later.
    refusedWithLateCopy,
    /// The same, and the copy names no attempt.
    refusedWithUnnamedCopy,
    /// Writes the refusal a second time, in two parts, each some milliseconds later.
    refusedWithCopyInParts,
    /// Writes the refusal a second time when the next request has come on the connection, which may be the same attempt, and then serves that.
    refusedWithCopyBeforeNext,
    /// The same, between the header and the body of the answer to the next request.
    refusedWithCopyWithinNext,
    /// Refuses it before its body has arrived, and reads the body later.
    refusedBeforeBody,
    /// Refuses it before its body has arrived, and resets the connection.
    refusedBeforeBodyAndReset,
    /// Runs it, but writes the refusal of another attempt before the answer.
    ranAfterEarlierRefusal,
    /// The same, and the refusal names no attempt.
    ranAfterUnnamedRefusal,
    /// Runs it, and writes the answer a second time, some milliseconds later.
    ranWithLateCopy,
    /// Runs it, and writes 100 and 103 before the answer.
    ranWithInterimAnswers,
    /// Runs it, and resets the connection in place of the answer.
    ranAndReset,
    /// Runs it, and closes the connection in place of the answer.
    ranAndClosed,
    /// Runs it, and closes the connection within the header of the answer.
    ranAndCutInHeader,
    /// Runs it, and answers 503 without saying that it has not run.
    ranAndBusy,
    /// Runs it, and answers after its deadline.
    ranTooLong,
    /// Runs it, and seals an answer whose status is none of HTTP, before a proper one.
    ranWithStatusOutsideHttp,
    /// Runs it, and seals an answer whose status has no name.
    ranWithUnnamedStatus,
};

std::string_view toString(answer_form form);

/// All forms but the proper one.
const std::vector<answer_form> &faultyForms();

/// The forms with the given names, separated by commas; empty if a name is not known.
std::vector<answer_form> parseForms(std::string_view names);

} // namespace chervilbend::fakes
