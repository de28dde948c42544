#include <chervilbend/soak/store_contents.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace chervilbend::soak
{

namespace
{

constexpr std::size_t maxKeyBytes = 255;
constexpr std::int64_t maxValueBytes = 200'000;
/// The share of the values that are of that order, so that a page of the usual limit doesn't hold all records.
constexpr double largeShare = 0.08;
constexpr std::int64_t minLargeBytes = 60'000;
constexpr std::int64_t maxSmallBytes = 400;
/// Without a value a record deletes its key, which may never have existed.
constexpr double emptyShare = 0.05;
/// With one record a page, the topics then have more than 64 pages.
constexpr double manyShare = 0.25;
/// In these seeds the store limits the bytes of a page as well.
constexpr double fewBytesShare = 0.3;
constexpr std::string_view special = "%&=+#?/ \"\\";

template<typename T, std::size_t size>
const T &oneOf(fakes::seeded_random &random, const std::array<T, size> &all)
{
    return all[static_cast<std::size_t>(random.between(0, static_cast<std::int64_t>(size) - 1))];
}

char oneOf(fakes::seeded_random &random, std::string_view all)
{
    return all[static_cast<std::size_t>(random.between(0, static_cast<std::int64_t>(all.size()) - 1))];
}

/// Letters and digits; the first letters sort on either side of the keys that the nodes need.
std::string drawPlain(fakes::seeded_random &random)
{
    return std::string(1, oneOf(random, "abcdijkz")) + std::to_string(random.between(0, 99));
}

std::string drawNeighbour(fakes::seeded_random &random, shared_topic topic)
{
    using namespace std::literals;
    static const std::array besideConfiguration{"confi"s, "confif\xff"s, "confi~"s, "config\0"s, "config "s, "config%"s, "config&"s, "configz"s, "confih"s};
    if (topic == shared_topic::operation) {
        return oneOf(random, besideConfiguration);
    }
    static const std::array besideId{"!"s, "\0"s, "%"s, "&="s, "~"s, "\xff"s};
    const std::string name = "i-"s + oneOf(random, "abcdef") + '-';
    return random.chance(0.5) ? name + std::to_string(random.between(1, 3)) + oneOf(random, besideId) : name + oneOf(random, besideId);
}

/// The id of a server: "i-NAME-NUMBER".
bool mayBeServerId(std::string_view key)
{
    const std::size_t last = key.rfind('-');
    return key.starts_with("i-") && last > 1 && last + 1 < key.size()
        && std::all_of(key.begin() + static_cast<std::ptrdiff_t>(last) + 1, key.end(), [](char one) { return one >= '0' && one <= '9'; });
}

std::string escaped(std::string_view key)
{
    constexpr std::size_t printedBytes = 40;
    std::string text;
    for (const char one : key.substr(0, printedBytes)) {
        const bool isPrintable = one > ' ' && one <= '~' && one != '\\' && one != '"';
        char code[5];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(one));
        text += isPrintable ? std::string(1, one) : code;
    }
    return key.size() > printedBytes ? text + "... of " + std::to_string(key.size()) + " bytes" : text;
}

} // namespace

store_contents::store_contents(std::uint64_t seed)
    : m_random(seed)
{
    static constexpr std::array<std::size_t, 4> recordsOfPage{1, 2, 7, 500};
    static constexpr std::array<std::size_t, 4> bytesOfPage{1, 300, 4'096, 65'536};
    m_pageLimit.records = oneOf(m_random, recordsOfPage);
    if (m_random.chance(fewBytesShare)) {
        m_pageLimit.bytes = oneOf(m_random, bytesOfPage);
    }
    m_keyEncoding = m_random.chance(0.5) ? fakes::key_encoding::singleSurrogates : fakes::key_encoding::rawBytes;
    const std::int64_t count = m_random.chance(manyShare) ? m_random.between(150, 200) : m_random.between(12, 80);
    for (std::int64_t i = 0; i < count; ++i) {
        m_initial.push_back(drawRecord());
    }
    m_written = m_initial;
    for (further_record &record : m_written) {
        record.value.clear();
    }
}

std::string store_contents::drawKey(fakes::seeded_random &random, shared_topic topic)
{
    using namespace std::literals;
    static const std::array escapes{"%zz"s, "%"s, "%4"s, "%41"s, "%00"s, "%25"s, "%E9"s, "&after="s, "&part=1"s, "#"s};
    static const std::array beyondAscii{"\xc3\xa9"s, "\xe9\x94\xae"s, "\xf0\x9f\x94\x91"s, "\xef\xbf\xbd"s, "\xe2\x80\xa8"s};
    /// A lone continuation, bytes that never occur, an overlong form, one that is cut, and half of a surrogate pair.
    static const std::array notUtf8{"\x80"s, "\xff\xfe"s, "\xc0\xaf"s, "\xe9\x94"s, "\xed\xa0\x80"s};
    std::string key = drawPlain(random);
    switch (random.between(0, 9)) {
    case 0:
        break;
    case 1:
        key += oneOf(random, special) + std::to_string(random.between(0, 9));
        break;
    case 2:
        for (std::int64_t i = random.between(2, 8); i > 0; --i) {
            key += oneOf(random, special);
        }
        break;
    case 3:
        key += oneOf(random, escapes);
        break;
    case 4:
        key += static_cast<char>(random.between(0, 31)) + (random.chance(0.5) ? "\x7f"s : ""s);
        break;
    case 5:
        key.clear();
        break;
    case 6:
        while (key.size() < maxKeyBytes) {
            key += random.chance(0.5) ? oneOf(random, special) : 'x';
        }
        break;
    case 7:
        key += oneOf(random, notUtf8);
        break;
    case 8:
        key += oneOf(random, beyondAscii);
        break;
    default:
        key = drawNeighbour(random, topic);
        break;
    }
    return key == "config" || mayBeServerId(key) ? key + '!' : key;
}

std::string store_contents::drawValue(shared_topic topic)
{
    using namespace std::literals;
    /// Entries that register no server: no JSON, other types, and members that are missing or out of range.
    static const std::array entries{
        "{"s,
        "[]"s,
        "null"s,
        "\"desk\""s,
        "{}"s,
        R"({"service":7,"address":"127.0.0.1:1","zone":"a","version":"v1","slots":1,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1})"s,
        R"({"service":"desk","address":"127.0.0.1:99999","zone":"a","version":"v1","slots":1,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1})"s,
        R"({"service":"desk","zone":"a","version":"v1","slots":1,"state":"ready"})"s,
    };
    if (m_random.chance(emptyShare)) {
        return {};
    }
    if (topic == shared_topic::servers && m_random.chance(0.5)) {
        return oneOf(m_random, entries);
    }
    const bool isLarge = m_random.chance(largeShare);
    std::string value(static_cast<std::size_t>(isLarge ? m_random.between(minLargeBytes, maxValueBytes) : m_random.between(1, maxSmallBytes)), 'v');
    for (std::size_t i = 0; i < std::min<std::size_t>(value.size(), maxSmallBytes); ++i) {
        value[i] = static_cast<char>(m_random.between(0, 255));
    }
    return value;
}

further_record store_contents::drawRecord()
{
    further_record record;
    record.topic = m_random.chance(0.5) ? shared_topic::operation : shared_topic::servers;
    record.key = drawKey(m_random, record.topic);
    record.value = drawValue(record.topic);
    return record;
}

further_record store_contents::drawChange()
{
    constexpr double newShare = 0.4;
    constexpr double deletedShare = 0.5;
    if (m_written.empty() || m_random.chance(newShare)) {
        further_record record = drawRecord();
        m_written.push_back({record.topic, record.key, {}});
        return record;
    }
    further_record record = m_written[static_cast<std::size_t>(m_random.between(0, static_cast<std::int64_t>(m_written.size()) - 1))];
    if (!m_random.chance(deletedShare)) {
        record.value = drawValue(record.topic);
    }
    return record;
}

std::string store_contents::describeForm() const
{
    std::ostringstream text;
    text << "store: pages of " << m_pageLimit.records << " records and " << m_pageLimit.bytes << " bytes, keys that are not UTF-8 as "
         << (m_keyEncoding == fakes::key_encoding::rawBytes ? "raw bytes" : "single surrogates") << ", " << m_initial.size() << " further records at first\n";
    return text.str();
}

void write(const further_record &record, fakes::metadata_store &store)
{
    if (record.topic == shared_topic::operation) {
        store.putOperatorRecord(record.key, record.value);
    } else {
        store.putServer(record.key, record.value);
    }
}

std::string describe(const further_record &record)
{
    return (record.topic == shared_topic::operation ? "operation \"" : "servers \"") + escaped(record.key) + "\" "
        + (record.value.empty() ? "deleted" : std::to_string(record.value.size()) + " bytes");
}

} // namespace chervilbend::soak
