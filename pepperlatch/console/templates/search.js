"use strict";
(function () {
  var box = document.getElementById("search");
  var told = document.getElementById("found");
  var rows = Array.prototype.slice.call(document.querySelectorAll("tr[data-job]"));
  function search() {
    var words = box.value.toLowerCase().split(/\s+/).filter(Boolean);
    var found = 0;
    rows.forEach(function (row) {
      var text = row.textContent.toLowerCase();
      var hit = words.every(function (word) { return text.indexOf(word) >= 0; });
      row.hidden = !hit;
      if (hit) { found += 1; }
    });
    document.querySelectorAll("details.group").forEach(function (group) {
      var any = group.querySelector("tr[data-job]:not([hidden])");
      group.hidden = !any;
      if (words.length && any) { group.open = true; }
    });
    told.textContent = words.length ? found + " of " + rows.length + " jobs" : "";
  }
  var waiting = null;
  box.addEventListener("input", function () {
    clearTimeout(waiting);
    waiting = setTimeout(search, 150);
  });
  box.parentElement.hidden = false;
}());
