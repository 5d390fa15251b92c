# What is done most: build, test, lint, run. CI does all but the last, by .ci/run.

.PHONY: build test lint run ci standing standing-full regression capacity

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --document-private-items --quiet

# make run CONFIG=config.json [STATE=folder]
STATE ?= target/state
run: build
	mkdir -p $(STATE)
	ROUTER_STATE=$(STATE) target/release/juniperwing serve --config $(CONFIG)

ci:
	.ci/run

# The operators' benches, for maintainers who have the kit beside the repository; CI needs neither.
KIT ?= ../given/kit
SITE ?= $(KIT)/sites/hengli-taipei.toml
MOVE ?= $(KIT)/more/move
WHY ?= Regression of the text as it stands
define kit
	@test -d $(KIT) || { echo "the operators' kit is not at $(KIT): nothing was played" >&2; exit 2; }
endef

MASS = $(KIT)/more/mass/bin/lbreal
OTHER = $(KIT)/more/mass/other/herna-ba.toml
MADE_UP = $(foreach site,pushed-short asked-long,deploy/sites/$(site)/$(site).toml)
SEEDS ?= 1 2 3

# The last line of each play says whether its gate was passed.
standing:
	$(kit)
	set -e; for site in $(SITE) $(OTHER) $(MADE_UP); do \
	  $(MASS) score $$site --quick --why "$(WHY)"; \
	  for seed in $(SEEDS); do $(MASS) score $$site --panel brink --seed $$seed --why "$(WHY)"; done; \
	done

standing-full:
	$(kit)
	$(MASS) score $(SITE) --why "$(WHY)"

regression:
	$(kit)
	$(KIT)/more/bin/lbreal score $(SITE) --quick --why "$(WHY)"
	$(KIT)/more/bin/lbreal score $(SITE) --panel later --quick --why "$(WHY)"
	$(MOVE)/bin/lbsim score $(foreach site,hengli-taipei hengli-taipei-later kingston-main sofia-delivery,$(MOVE)/sites/$(site).toml) --quick --why "$(WHY)"

# What each role costs by the number of machines, for docs/CAPACITY.md.
FLEETBENCH = $(KIT)/more/system/more/bench-caad47/bin/fleetbench
SWEEP ?= $(KIT)/more/system/further/inkwell-dub-grown.toml
capacity:
	$(kit)
	$(FLEETBENCH) sweep $(SWEEP) --jobs 2 --why "$(WHY)"
