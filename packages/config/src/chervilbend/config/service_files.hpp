#pragma once

#include <chervilbend/config/service_set.hpp>
#include <chervilbend/config/source_place.hpp>

#include <map>
#include <string>
#include <vector>

namespace chervilbend::config
{

class map_reader;

/// Reads service files one by one and merges those of the same service. docs/service-files.md describes the format.
class service_files
{
public:
    /// Adds one file. Everything wrong in it becomes a fault.
    void add(const std::string &file, const std::string &text);

    /// Checks all that was added, and gives it with all faults. Call once, at the end.
    service_set finish();

private:
    /// A service under construction. Places are found by paths in the merged declaration.
    struct draft {
        service_declaration declaration;
        std::map<std::string, source_place> places;
        bool hasPolicy = false;
        bool withdrawn = false;
    };

    /// An entry of a top-level list of adapters, which may stand in another file than its model.
    struct loose_adapter {
        base::service_id service;
        std::string model;
        adapter_declaration adapter;
        source_place place;
        std::map<std::string, source_place> places;
    };

    void readModels(map_reader &root, draft &target);
    void readAdapters(map_reader &model, model_declaration &target);
    void readLooseAdapters(map_reader &root, const base::service_id &service);
    void readRoutes(map_reader &root, draft &target);
    void readPolicy(map_reader &root, draft &target);
    void attachLooseAdapters();
    void checkDrafts();
    void addFault(const base::service_id &service, const std::string &path, const std::string &text);

    std::map<base::service_id, draft> m_drafts;
    std::vector<loose_adapter> m_looseAdapters;
    std::vector<fault> m_faults;
    /// Number of faults found before the checks of whole declarations.
    std::size_t m_readFaults = 0;
    std::size_t m_files = 0;
};

} // namespace chervilbend::config
