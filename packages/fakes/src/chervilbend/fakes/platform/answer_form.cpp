#include <chervilbend/fakes/platform/answer_form.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace chervilbend::fakes
{

namespace
{

/// In the order of the enumeration.
constexpr std::array<std::string_view, 22> names{
    "proper",
    "refused",
    "refusedAndClosed",
    "refusedTwice",
    "refusedWithLateCopy",
    "refusedWithUnnamedCopy",
    "refusedWithCopyInParts",
    "refusedWithCopyBeforeNext",
    "refusedWithCopyWithinNext",
    "refusedBeforeBody",
    "refusedBeforeBodyAndReset",
    "ranAfterEarlierRefusal",
    "ranAfterUnnamedRefusal",
    "ranWithLateCopy",
    "ranWithInterimAnswers",
    "ranAndReset",
    "ranAndClosed",
    "ranAndCutInHeader",
    "ranAndBusy",
    "ranTooLong",
    "ranWithStatusOutsideHttp",
    "ranWithUnnamedStatus",
};

static_assert(names.size() == static_cast<std::size_t>(answer_form::ranWithUnnamedStatus) + 1);

} // namespace

std::string_view toString(answer_form form)
{
    return names[static_cast<std::size_t>(form)];
}

const std::vector<answer_form> &faultyForms()
{
    static const std::vector<answer_form> forms = [] {
        std::vector<answer_form> all;
        for (std::size_t i = 1; i < names.size(); ++i) {
            all.push_back(static_cast<answer_form>(i));
        }
        return all;
    }();
    return forms;
}

std::vector<answer_form> parseForms(std::string_view text)
{
    std::vector<answer_form> forms;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const auto found = std::find(names.begin(), names.end(), text.substr(0, comma));
        if (found == names.end()) {
            return {};
        }
        forms.push_back(static_cast<answer_form>(found - names.begin()));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return forms;
}

} // namespace chervilbend::fakes
