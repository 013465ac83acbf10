#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief What came and went at an upstream, or all that it holds, as `model` or `model/adapter`.
struct loaded_models_update {
    std::vector<std::string> loaded;
    std::vector<std::string> unloaded;
    /// Whether `loaded` and `unloaded` are to be added to what was told before.
    bool isDelta { false };

    auto operator<=>(const loaded_models_update&) const = default;
};

/// \brief What an upstream holds, with the order in which holdings came and went, so that each gateway is
/// told only what it lacks; pure.
///
/// An adapter's order changes one name of many, and every gateway hears of each order.
class loaded_models_history {
public:
    /// Takes in what is held now.
    /// \param stamp of this change; larger than each before
    void setLoaded(const std::set<std::string>& held, std::uint64_t stamp);

    /// \return stamp of the newest change; 0 where nothing is known.
    std::uint64_t newestStamp() const { return m_changed; }

    /// \param told the newest stamp of what the gateway was told
    /// \return what that gateway lacks; everything where it was told too little to add to.
    loaded_models_update updateSince(std::uint64_t told) const;

private:
    struct mark {
        std::string name;
        std::uint64_t stamp { 0 };
        bool isHeld { true };
    };

    /// Forgets what was dropped longest ago, where that is much.
    void forgetDropped();

    /// By name.
    std::vector<mark> m_marks;
    std::uint64_t m_changed { 0 };
    /// Who was told less lacks what is forgotten here.
    std::uint64_t m_completeFrom { 0 };
};

} // namespace sagesaddle
