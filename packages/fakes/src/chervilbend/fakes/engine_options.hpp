#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::fakes
{

/// How an engine model behaves.
struct engine_options {
    base::byte_count memory;
    /// Refuses commands with a token lower than the highest seen. Engines that do not check report token 0.
    bool checksFencing = true;
    /// Reports describe the moment that lies this far back.
    base::milliseconds reportLag{0};
    base::milliseconds unloadTime{200};
    base::incarnation life{1};
};

} // namespace chervilbend::fakes
