#ifndef CORE_OVERLOADED_H_
#define CORE_OVERLOADED_H_

namespace hickoryusher::core {

/// Builds a visitor for std::visit from one lambda per alternative.
template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace hickoryusher::core

#endif  // CORE_OVERLOADED_H_
