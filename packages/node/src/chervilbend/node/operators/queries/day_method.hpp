#pragma once

#include <chervilbend/node/reports/recent_days.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "day": the daily page.
///
/// Parameters: date ("YYYY-MM-DD" in UTC, default today). Result: date, verdict ("well", "notWell" or "notKnown"), firstLine, text (the
/// whole page), sections (heading, sentence, columns, rows).
class day_method : public peers::rpc_method
{
public:
    /// The days must outlive the method.
    explicit day_method(const recent_days &days);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const recent_days &m_days;
};

} // namespace chervilbend::node::queries
