#include "Fakes/fake_engine.h"
#include "Fakes/fake_program.h"

#include <memory>

namespace {

constexpr const char* usage = R"(Stands in for a model engine.

Usage:
  fake-engine (--listen ADDRESS)... [--memory-mb MB] [--batch N] [--store ADDRESS] [--load-ms MS]
              [--tokens-per-second N] [--check-fencing YESNO] [--preload MODEL=MB]... [--workers N]

Options:
  --listen ADDRESS       Where to listen, as ip:port.
  --memory-mb MB         Memory of its accelerators [default: 64000].
  --batch N              Requests that generate at once [default: 8].
  --store ADDRESS        The weight store that loads go through.
  --load-ms MS           How long a load takes without a store [default: 20].
  --tokens-per-second N  Tokens a second of one request, 0 for as fast as it goes [default: 0].
  --check-fencing YESNO  Whether orders with an old fencing number are refused [default: no].
  --preload MODEL=MB     A model that is loaded from the start.
  --workers N            Connections served at once [default: 320].
)";

sagesaddle::testing::fake_engine::options parseOptions(const sagesaddle::testing::fake_arguments& arguments)
{
    sagesaddle::testing::fake_engine::options options;
    options.memory.totalMb = arguments.number("memory-mb");
    if (const auto store = arguments.values.find("store"); store != arguments.values.end())
        options.memory.store = sagesaddle::parseAddress(store->second);
    options.memory.loadMs = static_cast<std::uint32_t>(arguments.number("load-ms"));
    options.memory.checksFencing = arguments.values.at("check-fencing") == "yes";
    options.memory.preload = arguments.preload;
    options.batch = static_cast<std::uint32_t>(arguments.number("batch"));
    options.tokensPerSecond = std::stod(arguments.values.at("tokens-per-second"));
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::testing;
    return runFake(argc, argv, usage, [](const fake_arguments& arguments) -> fake_handler {
        auto engine = std::make_shared<fake_engine>(parseOptions(arguments));
        return [engine](auto& call, const auto&) { engine->handle(call); };
    });
}
