#pragma once

#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace chervilbend::fakes
{

/// The beginnings of prompts that an engine has in its cache, the least recently used ones evicted first.
class prefix_cache
{
public:
    /// Told of each prefix that was stored (true) or evicted (false).
    using listener = std::function<void(bool, const std::string &)>;

    explicit prefix_cache(base::token_count capacity);

    void setListener(listener onChange);

    /// Whether the prefix is there, which makes it the most recently used one. Stores it otherwise. Keys hold @p size tokens each.
    bool touch(const std::string &key, base::token_count size);

private:
    struct cached_prefix {
        std::string key;
        base::token_count size;
    };

    base::token_count m_capacity;
    base::token_count m_used;
    std::list<cached_prefix> m_byUse;
    std::map<std::string, std::list<cached_prefix>::iterator> m_byKey;
    listener m_onChange;
};

} // namespace chervilbend::fakes
