#include <chervilbend/node/callers/caller_authentication.hpp>

#include <chervilbend/fleet/account_directory.hpp>
#include <chervilbend/fleet/caller_request.hpp>
#include <chervilbend/fleet/route_rule.hpp>
#include <chervilbend/fleet/route_table.hpp>

#include <string>

namespace chervilbend::node
{

caller_authentication::caller_authentication(authentication_settings settings)
    : m_settings(settings)
{
}

authentication caller_authentication::authenticate(const fleet::route_table &routes,
                                                   const fleet::route_rule &route,
                                                   const fleet::caller_request &caller,
                                                   bool isRelayed,
                                                   base::milliseconds configurationAge) const
{
    authentication result;
    const fleet::account_directory *const accounts = routes.accounts();
    if (isRelayed && caller.relayedAccount) {
        // The node that took the request has checked the key, perhaps by a newer configuration.
        result.account = caller.relayedAccount;
        result.rule = accounts ? accounts->findById(*caller.relayedAccount) : nullptr;
        return result;
    }
    if (!accounts) {
        return result;
    }
    result.rule = accounts->findByKey(caller.key);
    result.account = result.rule ? result.rule->id : base::account_id();
    if (route.isPublic) {
        return result;
    }
    if (!result.rule) {
        result.refusal = refusalWithoutKey(caller, configurationAge);
    } else if (m_settings.strictRevocation && configurationAge > m_settings.revocationBound) {
        result.refusal = {base::error_kind::configurationUnconfirmed,
                          "the configuration has not been confirmed for " + std::to_string(configurationAge.count()) + " ms, so the key may have been removed"};
    }
    return result;
}

std::optional<base::reason> caller_authentication::refusalWithoutKey(const fleet::caller_request &caller, base::milliseconds configurationAge) const
{
    if (caller.key.empty()) {
        return base::reason{base::error_kind::unknownKey, "the request has no key, or more than one"};
    }
    if (configurationAge > m_settings.configurationBound) {
        return base::reason{base::error_kind::configurationUnconfirmed,
                            "the configuration has not been confirmed for " + std::to_string(configurationAge.count()) + " ms, so the key may have been added"};
    }
    return base::reason{base::error_kind::unknownKey, "no account has this key"};
}

} // namespace chervilbend::node
