package experiment

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/deploy"
	"github.com/mulberrylane/mulberrylane/version"
)

// Deployment holds the properties of a deployment that an experiment needs.
type Deployment struct {
	// Service is the name of the model service, Version the model version it runs.
	Service  string
	Version  string
	Replicas int
	Entries  int
	Domains  []string
	// Workspaces are sorted by weight, highest first.
	Workspaces []Workspace
}

// Workspace is one workspace of a deployment.
type Workspace struct {
	Name string
	// Weight is the declared share of the workspace; its portion of the requests is
	// proportional to it.
	Weight int
}

// BearerToken returns the bearer token of the workspace.
func (w Workspace) BearerToken() string { return w.Name + "-token" }

const (
	// NoisyWorkspace is the name of the workspace that exceeds its share.
	NoisyWorkspace = "noisy"
	defaultEntries = 3
)

// resolve returns the deployment of e, with its sizes overridden by those set in e, and
// its configuration document without the application services.
func (e *Experiment) resolve() (Deployment, version.Document, error) {
	document, err := deploy.Document(e.Deployment)
	if err != nil {
		return Deployment{}, document, err
	}
	d := Deployment{Entries: cmp.Or(e.Entries, defaultEntries)}
	for name, service := range document.Services {
		if service.Model == nil {
			delete(document.Services, name)
			continue
		}
		d.Service, d.Version = name, service.Model.Version
		d.Replicas = cmp.Or(e.Replicas, service.Replicas)
		for _, region := range service.Regions {
			d.Domains = append(d.Domains, document.Regions[region].FailureDomains...)
		}
	}
	for name, workspace := range document.Workspaces {
		d.Workspaces = append(d.Workspaces, Workspace{Name: name, Weight: workspace.Share})
	}
	slices.SortFunc(d.Workspaces, func(a, b Workspace) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	return d, document, nil
}

// ResolveDeployment returns the deployment of e, with its sizes overridden by those set
// in e. It is empty if the deployment does not exist, which Check reports.
func (e *Experiment) ResolveDeployment() Deployment {
	d, _, _ := e.resolve()
	return d
}

// Document returns the configuration that e runs under: the document of its
// deployment with the replicas and the profile fields of e, the bearer tokens of the
// load tool and the noisy workspace.
func (e *Experiment) Document() (version.Document, error) {
	d, document, err := e.resolve()
	if err != nil {
		return document, err
	}
	profile, err := e.profile(document, d.Service)
	if err != nil {
		return document, err
	}
	service := document.Services[d.Service]
	service.Replicas = d.Replicas
	service.Model.MinReplicas = min(service.Model.MinReplicas, d.Replicas-1)
	document.Services[d.Service] = service
	document.Profiles[service.Profile] = profile
	for _, w := range d.Workspaces {
		workspace := document.Workspaces[w.Name]
		workspace.TokenDigests = []string{version.TokenDigest(w.BearerToken())}
		document.Workspaces[w.Name] = workspace
	}
	noisy := Workspace{Name: NoisyWorkspace}
	document.Workspaces[NoisyWorkspace] = version.Workspace{Share: 1, TokenDigests: []string{version.TokenDigest(noisy.BearerToken())}}
	return document, nil
}

// profile returns the profile of a service, overridden by the profile fields of e.
func (e *Experiment) profile(document version.Document, service string) (version.Profile, error) {
	profile := document.Profiles[document.Services[service].Profile]
	if len(e.Profile) == 0 {
		return profile, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(e.Profile))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&profile)
	return profile, errors.WithStack(err)
}

// Deadline returns the time after the arrival of a request within which its response
// is useful, or zero if there is no limit.
func (e *Experiment) Deadline() time.Duration {
	d, document, err := e.resolve()
	if err != nil {
		return 0
	}
	profile, err := e.profile(document, d.Service)
	if err != nil {
		return 0
	}
	return profile.Deadline.Std()
}

// maxSmallShare is the largest share with which a workspace counts as small.
const maxSmallShare = 1

// Small reports whether the workspace has a small share and is not the noisy one.
func (w Workspace) Small() bool { return w.Weight <= maxSmallShare && w.Name != NoisyWorkspace }
