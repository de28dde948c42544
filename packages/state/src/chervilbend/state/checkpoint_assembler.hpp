#pragma once

#include <chervilbend/base/units.hpp>
#include <chervilbend/state/entries.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::state
{

/// Puts the chunks of a stream's checkpoints together again.
class checkpoint_assembler
{
public:
    struct checkpoint {
        base::log_offset appliedOffset;
        std::string dump;
    };

    explicit checkpoint_assembler(std::string stream);

    /// Takes a record of the checkpoint stream; one that holds no chunk of this stream has no effect.
    void add(std::string_view payload);

    /// The complete checkpoint with the highest offset.
    const std::optional<checkpoint> &newest() const;

private:
    struct partial {
        base::log_offset appliedOffset;
        std::map<int, std::string> data;
        int chunks = 0;
    };

    /// Writers append one checkpoint after the other; more unfinished ones are left over from writers that stopped.
    static constexpr std::size_t partialsKept = 8;

    void add(const checkpoint_entry &chunk);

    std::string m_stream;
    std::map<std::string, partial> m_partials;
    std::vector<std::string> m_order;
    std::optional<checkpoint> m_newest;
};

} // namespace chervilbend::state
