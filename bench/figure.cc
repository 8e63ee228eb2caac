#include "bench/figure.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace cuminjunction {

namespace {

nlohmann::ordered_json MakeFigure(std::string_view bench,
                                  std::string_view metric,
                                  double value,
                                  std::string_view unit) {
  nlohmann::ordered_json figure;
  figure["bench"] = bench;
  figure["metric"] = metric;
  figure["value"] = value;
  figure["unit"] = unit;
  return figure;
}

void Print(const nlohmann::ordered_json& figure) {
  std::printf("%s\n", figure.dump().c_str());
  std::fflush(stdout);
}

}  // namespace

FigurePrinter::FigurePrinter(std::string bench) : bench(std::move(bench)) {}

void FigurePrinter::AtMost(std::string_view metric,
                           double value,
                           std::string_view unit,
                           double target) {
  nlohmann::ordered_json figure = MakeFigure(this->bench, metric, value, unit);
  figure["target"] = "<= " + nlohmann::json(target).dump();
  figure["ok"] = value <= target;
  this->all_ok = this->all_ok && value <= target;
  Print(figure);
}

void FigurePrinter::AtLeast(std::string_view metric,
                            double value,
                            std::string_view unit,
                            double target) {
  nlohmann::ordered_json figure = MakeFigure(this->bench, metric, value, unit);
  figure["target"] = ">= " + nlohmann::json(target).dump();
  figure["ok"] = value >= target;
  this->all_ok = this->all_ok && value >= target;
  Print(figure);
}

void FigurePrinter::Show(std::string_view metric,
                         double value,
                         std::string_view unit) {
  nlohmann::ordered_json figure = MakeFigure(this->bench, metric, value, unit);
  figure["target"] = nullptr;
  figure["ok"] = nullptr;
  Print(figure);
}

int FigurePrinter::ExitCode() const {
  return this->all_ok ? 0 : 1;
}

}  // namespace cuminjunction
