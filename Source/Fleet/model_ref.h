#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

struct loaded_model;

/// \brief A model, or an adapter of it.
struct model_ref {
    std::string model;
    /// Empty where the model itself is meant.
    std::string adapter;

    auto operator<=>(const model_ref&) const = default;
};

/// \return the name of a model or adapter in holdings: `model` or `model/adapter`.
std::string formatModelRef(const std::string& model, const std::string& adapter);

/// \return what a name of a holding is made of.
model_ref parseModelRef(std::string_view name);

/// \return whether a name of a holding is that of an adapter.
bool isAdapterRef(std::string_view name);

/// \return the names of all that is held, each model before its adapters.
std::vector<std::string> loadedModelRefs(const std::vector<loaded_model>& models);

} // namespace sagesaddle
