package platformer

import (
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/binder"
)

func (p *Platform) swap(r *http.Request) (any, *binder.Failure) {
	request, failure := decode[binder.SwapRequest](r)
	if failure != nil {
		return nil, failure
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireLeases()
	entry, failure := p.state.swap(request)
	if failure != nil {
		return nil, failure
	}
	p.notify()
	entry.Value = nil
	return entry, nil
}

func (p *Platform) deleteEntry(r *http.Request) (any, *binder.Failure) {
	request, failure := decode[binder.KeyRequest](r)
	if failure != nil {
		return nil, failure
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireLeases()
	if failure := p.state.deleteEntry(request); failure != nil {
		return nil, failure
	}
	p.notify()
	return struct{}{}, nil
}

func (p *Platform) grant(r *http.Request) (any, *binder.Failure) {
	request, failure := decode[binder.LeaseRequest](r)
	if failure != nil {
		return nil, failure
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state.grant(toDuration(request.Milliseconds), p.config.Now()), nil
}

func (p *Platform) renew(r *http.Request) (any, *binder.Failure) {
	request, failure := decode[binder.LeaseRequest](r)
	if failure != nil {
		return nil, failure
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireLeases()
	renewed, failure := p.state.renew(request.Lease, p.config.Now())
	if failure != nil {
		return nil, failure
	}
	return renewed, nil
}

func (p *Platform) revoke(r *http.Request) (any, *binder.Failure) {
	request, failure := decode[binder.LeaseRequest](r)
	if failure != nil {
		return nil, failure
	}
	p.Expire(request.Lease)
	return struct{}{}, nil
}
