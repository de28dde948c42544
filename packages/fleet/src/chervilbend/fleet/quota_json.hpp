#pragma once

#include <chervilbend/routing/quota_messages.hpp>

#include <json/value.h>

namespace chervilbend::fleet
{

/// The parts of the exchange by which the nodes divide the quotas of accounts. Nodes of earlier versions leave them out: a missing report has no accounts, and
/// a missing answer grants nothing. Accounts with invalid numbers are skipped.
Json::Value toJson(const routing::quota_report &report);
routing::quota_report readQuotaReport(const Json::Value &json);

Json::Value toJson(const routing::quota_answer &answer);
routing::quota_answer readQuotaAnswer(const Json::Value &json);

} // namespace chervilbend::fleet
