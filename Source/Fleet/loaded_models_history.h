#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief An update to the models and adapters that are loaded at an upstream, either as a delta or whole.
///
/// Models and adapters are named as formatModelRef does.
struct loaded_models_update {
    std::vector<std::string> loaded;
    /// Empty unless the update is a delta.
    std::vector<std::string> unloaded;
    /// Whether the update is applied to what the receiver knows; otherwise `loaded` replaces that.
    bool isDelta { false };

    auto operator<=>(const loaded_models_update&) const = default;
};

/// \brief Models and adapters that are loaded at an upstream, with the stamps of their changes, so that each
/// gateway is sent only what changed since its last update.
///
/// An order to load or unload an adapter changes one name of many, and every gateway must learn of it. Whole
/// updates would repeat all the others each time.
///
/// No I/O and no clock; not thread-safe.
class loaded_models_history {
public:
    /// Replaces the set of what is loaded and records the differences.
    /// \param loaded all models and adapters that are loaded now, named as formatModelRef does
    /// \param stamp number of this change; greater than 0 and than each before
    void setLoaded(const std::set<std::string>& loaded, std::uint64_t stamp);

    /// \return the stamp of the newest change; 0 if nothing is known.
    std::uint64_t newestStamp() const { return m_newestStamp; }

    /// \param sentStamp the newest stamp at the receiver's last update; 0 if it had none
    /// \return the changes after that stamp, or a whole update if they are no longer all remembered.
    loaded_models_update updateSince(std::uint64_t sentStamp) const;

private:
    /// A model or adapter that is loaded, or was unloaded and is remembered.
    struct history_entry {
        std::string name;
        /// Stamp of the change that loaded or unloaded it.
        std::uint64_t stamp { 0 };
        bool isLoaded { true };
    };

    /// Removes the entries that were unloaded longest ago, beyond the number that is kept.
    void evictUnloaded();

    /// Sorted by name.
    std::vector<history_entry> m_entries;
    std::uint64_t m_newestStamp { 0 };
    /// Receivers that were last updated before this stamp need a whole update: changes after theirs were
    /// evicted.
    std::uint64_t m_deltaFrom { 0 };
};

} // namespace sagesaddle
