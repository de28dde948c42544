#pragma once

#include <string>

namespace chervilbend::node
{

struct day_report;

/// The daily page as one HTML document without external resources.
std::string renderDayPage(const day_report &report);

} // namespace chervilbend::node
