#ifndef BENCH_FIGURE_H_
#define BENCH_FIGURE_H_

// Output of benches: one JSON line a figure.
//
//   FigurePrinter printer("place");
//   printer.AtMost("decision_median", 0.11, "ms", 0.2);
//   printer.Show("conflicts", 12, "count");
//   return printer.ExitCode();

#include <string>
#include <string_view>

namespace cuminjunction {

class FigurePrinter {
 public:
  explicit FigurePrinter(std::string bench);

  // Prints a figure that must not exceed, or not fall below, its target.
  void AtMost(std::string_view metric,
              double value,
              std::string_view unit,
              double target);
  void AtLeast(std::string_view metric,
               double value,
               std::string_view unit,
               double target);

  // Prints a figure without a target, such as that of a baseline.
  void Show(std::string_view metric, double value, std::string_view unit);

  // 0 when every figure met its target, else 1.
  int ExitCode() const;

 private:
  std::string bench;
  bool all_ok = true;
};

}  // namespace cuminjunction

#endif  // BENCH_FIGURE_H_
