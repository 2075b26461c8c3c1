package starter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// Config configures a site.
type Config struct {
	// Directory holds the site's binaries, settings, certificates and logs.
	Directory string
	// Source is the module's root directory, from which the binaries are built.
	Source string
	// Domains lists the failure domains and their sizes.
	Domains []Domain
	// Settings modifies the settings of each instance before they are written; nil leaves them unchanged.
	Settings func(settings *parser.Settings)
	// Engine holds additional flags for each emulated engine, such as "--token=2ms".
	Engine []string
	// Service holds additional flags for each emulated service.
	Service []string
	// Weights holds additional flags for the emulated weight store.
	Weights []string
	// Platform holds additional flags for the emulated platform.
	Platform []string
	// Deadline is the time by which the site must be ready; zero means 30 s after its processes were started.
	Deadline time.Time
}

// Domain holds the name and the size of one failure domain.
type Domain struct {
	// Name is the failure domain's name.
	Name string
	// Instances is the number of entry instances.
	Instances int
	// Engines is the number of engines.
	Engines int
	// Services is the number of instances of the plain service.
	Services int
}

// ServiceName is the name of the plain service that every site runs.
const ServiceName = "crates"

// startTimeout is the time that a site has to become ready if Config sets no deadline. It does not include
// the builds, which took longer than that beside other builds.
const startTimeout = 30 * time.Second
