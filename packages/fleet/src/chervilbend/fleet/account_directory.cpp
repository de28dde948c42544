#include <chervilbend/fleet/account_directory.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>

namespace chervilbend::fleet
{

namespace
{

const log4cxx::LoggerPtr &configLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("config");
    return logger;
}

} // namespace

account_directory::account_directory(const std::vector<account_rule> &accounts)
{
    for (const account_rule &account : accounts) {
        m_byId.emplace(account.id, &account);
        for (const std::string &key : account.keys) {
            const auto [known, isNew] = m_byKey.emplace(key, &account);
            if (!isNew && known->second->id != account.id) {
                LOG4CXX_WARN(configLog(), base::log_event("duplicateKey").with("account", account.id.value()).with("owner", known->second->id.value()).text());
            }
        }
    }
}

const account_rule *account_directory::findByKey(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() || key.empty() ? nullptr : found->second;
}

const account_rule *account_directory::findById(const base::account_id &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace chervilbend::fleet
