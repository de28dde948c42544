#pragma once

#include <chervilbend/base/units.hpp>

#include <string>

namespace chervilbend::config
{

/// An adapter that can be loaded in addition to its base model.
struct adapter_declaration {
    std::string name;
    std::string version;
    base::byte_count bytes;

    friend bool operator==(const adapter_declaration &, const adapter_declaration &) = default;
};

} // namespace chervilbend::config
