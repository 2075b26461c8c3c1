package app

import "github.com/buckthorngap/buckthorngap/internal/informer"

// wireInformer creates the informer, which passes on what instances have seen of upstreams and failure domains.
func (f *Front) wireInformer() {
	f.informer = informer.New(informer.Config{
		Learn: map[informer.Kind]func(fact informer.Fact, peer string) bool{
			informer.Leaves:    func(fact informer.Fact, peer string) bool { return f.drainer.Learn(fact, peer) },
			informer.Evacuated: func(fact informer.Fact, peer string) bool { return f.evacuator.Learn(fact, peer) },
			informer.Returned:  func(fact informer.Fact, peer string) bool { return f.evacuator.Learn(fact, peer) },
		},
		Now: f.now,
		Log: f.log,
	})
}
