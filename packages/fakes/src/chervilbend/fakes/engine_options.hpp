#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::fakes
{

/// Configuration of an engine model.
struct engine_options {
    base::byte_count memory;
    /// Refuses commands with a token lower than the highest seen. Engines that do not check report token 0.
    bool checksFencing = true;
    /// Age of the state that reports describe.
    base::milliseconds reportLag{0};
    base::milliseconds unloadTime{200};
    base::incarnation incarnation{1};
};

} // namespace chervilbend::fakes
