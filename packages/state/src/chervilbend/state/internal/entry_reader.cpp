#include <chervilbend/state/internal/entry_reader.hpp>

#include <chervilbend/config/declaration_json.hpp>
#include <chervilbend/state/internal/entry_writer.hpp>

#include <map>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

void readFields(field_reader &fields, publish_entry &target)
{
    fields.read("base", target.base);
    fields.read("id", target.publishId);
    fields.read("author", target.author);
    const json::value *declaration = fields.value("declaration");
    config::declaration_reader reader;
    auto parsed = declaration ? reader.read(*declaration) : std::nullopt;
    if (!parsed || parsed->service.empty()) {
        fields.fail();
        return;
    }
    target.declaration = std::move(*parsed);
}

void readFields(field_reader &fields, lease_entry &target)
{
    fields.read("name", target.name);
    fields.read("base", target.base);
    fields.read("action", target.action, lease_action::release);
    fields.read("node", target.holder);
    fields.read("life", target.incarnation);
}

void readFields(field_reader &fields, heartbeat_entry &target)
{
    fields.read("node", target.node);
    fields.read("life", target.incarnation);
    fields.read("folded", target.appliedOffset);
    fields.read("outstanding", target.commandsOutstanding);
    fields.read("sentAt", target.sentAt);
}

void readFields(field_reader &fields, endpoint_entry &target)
{
    fields.read("endpoint", target.endpoint);
    fields.read("address", target.address);
    fields.read("zone", target.zone);
    fields.read("memory", target.memory);
    fields.read("fencing", target.checksFencing);
    fields.read("gone", target.removed);
    fields.read("token", target.plannerToken);
}

void readFields(field_reader &fields, assign_entry &target)
{
    fields.read("endpoint", target.endpoint);
    fields.read("item", target.item);
    fields.read("bytes", target.bytes);
    fields.read("token", target.plannerToken);
}

void readFields(field_reader &fields, loaded_entry &target)
{
    fields.read("endpoint", target.endpoint);
    fields.read("item", target.item);
    fields.read("token", target.ownerToken);
    fields.read("lost", target.lost);
}

void readFields(field_reader &fields, drop_entry &target)
{
    fields.read("endpoint", target.endpoint);
    fields.read("item", target.item);
    fields.read("token", target.plannerToken);
}

void readFields(field_reader &fields, released_entry &target)
{
    fields.read("endpoint", target.endpoint);
    fields.read("item", target.item);
    fields.read("token", target.ownerToken);
}

void readFields(field_reader &fields, claim_entry &target)
{
    fields.read("key", target.keyHash);
    fields.read("bodyHash", target.bodyHash);
    fields.read("node", target.node);
    fields.read("life", target.incarnation);
    fields.read("claim", target.claimId);
    fields.read("at", target.claimedAt);
    fields.read("base", target.base);
    fields.read("lifetime", target.lifetime);
}

void readFields(field_reader &fields, outcome_entry &target)
{
    fields.read("key", target.keyHash);
    fields.read("claim", target.claimId);
    fields.read("state", target.state, base::run_state::unknown);
    fields.read("status", target.httpStatus);
    fields.read("type", target.contentType);
    readBytes(fields, "body", target.body);
}

void readFields(field_reader &fields, minute_counts_entry &target)
{
    fields.read("node", target.node);
    fields.read("life", target.incarnation);
    fields.read("minute", target.minute);
    field_reader counts(&fields.object("counts"));
    for (const auto &member : fields.object("counts")) {
        counts.read(member.key(), target.counts[std::string(member.key())]);
    }
    if (!counts.isOk()) {
        fields.fail();
    }
}

void readFields(field_reader &fields, incarnation_ended_entry &target)
{
    fields.read("node", target.node);
    fields.read("life", target.incarnation);
}

void readFields(field_reader &fields, checkpoint_entry &target)
{
    fields.read("stream", target.stream);
    fields.read("folded", target.appliedOffset);
    fields.read("id", target.checkpointId);
    fields.read("chunk", target.chunk);
    fields.read("chunks", target.chunks);
    fields.read("data", target.data);
    if (target.chunks < 1 || target.chunks > 65'536 || target.chunk < 0 || target.chunk >= target.chunks) {
        fields.fail();
    }
}

template<typename Concrete>
bool readAs(field_reader &fields, entry &target)
{
    Concrete value;
    readFields(fields, value);
    if (fields.isOk()) {
        target = std::move(value);
    }
    return fields.isOk();
}

using read_function = bool (*)(field_reader &, entry &);

const std::map<std::string, read_function, std::less<>> readers{
    {"publish", &readAs<publish_entry>},
    {"lease", &readAs<lease_entry>},
    {"heartbeat", &readAs<heartbeat_entry>},
    {"endpoint", &readAs<endpoint_entry>},
    {"assign", &readAs<assign_entry>},
    {"loaded", &readAs<loaded_entry>},
    {"drop", &readAs<drop_entry>},
    {"released", &readAs<released_entry>},
    {"claim", &readAs<claim_entry>},
    {"outcome", &readAs<outcome_entry>},
    {"day", &readAs<minute_counts_entry>},
    {"ended", &readAs<incarnation_ended_entry>},
    {"checkpoint", &readAs<checkpoint_entry>},
};

int hexDigitValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

} // namespace

entry_status readEntry(const json::value &json, entry &target)
{
    field_reader fields(json);
    std::string kind;
    int version = 0;
    fields.read("kind", kind);
    fields.read("v", version);
    if (!fields.isOk()) {
        return entry_status::malformed;
    }
    const auto reader = readers.find(kind);
    if (version != entryVersion || reader == readers.end()) {
        return entry_status::skipped;
    }
    return reader->second(fields, target) ? entry_status::ok : entry_status::malformed;
}

void readBytes(field_reader &fields, std::string_view key, std::string &target)
{
    const std::string hexKey = std::string(key) + "Hex";
    if (!fields.has(hexKey)) {
        fields.read(key, target);
        return;
    }
    std::string text;
    fields.read(hexKey, text);
    target.clear();
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        const int high = hexDigitValue(text[i]);
        const int low = hexDigitValue(text[i + 1]);
        if (high < 0 || low < 0) {
            fields.fail();
            return;
        }
        target += static_cast<char>(high * 16 + low);
    }
    if (text.size() % 2 != 0) {
        fields.fail();
    }
}

} // namespace chervilbend::state
