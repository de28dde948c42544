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

/// Reassembles the checkpoints of one stream from their chunks.
class checkpoint_assembler
{
public:
    struct checkpoint {
        base::log_offset appliedOffset;
        std::string dump;
    };

    explicit checkpoint_assembler(std::string stream);

    /// Processes a record of the checkpoint stream. Records without a chunk for this stream are ignored.
    void add(std::string_view payload);

    /// The complete checkpoint with the highest offset, if any.
    const std::optional<checkpoint> &newest() const;

private:
    struct partial {
        base::log_offset appliedOffset;
        std::map<int, std::string> data;
        int chunks = 0;
    };

    /// Bounds the number of incomplete checkpoints. Each writer appends its checkpoints one after the other, so further incomplete ones
    /// were left behind by writers that stopped.
    static constexpr std::size_t maxPartials = 8;

    void add(const checkpoint_entry &chunk);

    std::string m_stream;
    std::map<std::string, partial> m_partials;
    std::vector<std::string> m_partialIds;
    std::optional<checkpoint> m_newest;
};

} // namespace chervilbend::state
